/**
 * Counters, gauges and latency histograms, in the text format that Prometheus reads. Latencies are
 * kept in HDR histograms, which hold a fixed amount of memory and give exact quantiles within 1%.
 */
import {build, type Histogram as HdrHistogram} from 'hdr-histogram-js';
import {Counter, Gauge, Registry} from 'prom-client';

export type Labels = Readonly<Record<string, string>>;

export type Metrics = {
	/** Adds to a counter; `_total` is appended to the name. Labels need few distinct values. */
	count(name: string, amount?: number, labels?: Labels): void;
	/** Total of a counter over all its labels, for status pages and tests. */
	total(name: string): Promise<number>;
	/** Records a duration in milliseconds, up to one hour. */
	record(name: string, milliseconds: number, labels?: Labels): void;
	/** Registers a gauge that is read on each scrape. */
	gauge(name: string, help: string, read: () => number): void;
	/** The same with one value for each value of `label`. */
	gaugeBy(
		name: string,
		help: string,
		label: string,
		read: () => Iterable<readonly [labelValue: string, value: number]>,
	): void;
	/** The page that Prometheus reads. */
	render(): Promise<string>;
	readonly contentType: string;
};

export type MetricsOptions = {
	/** Prefix of every name, `shallotpond` by default. */
	readonly prefix?: string;
};

const quantiles = [0.5, 0.9, 0.99, 0.999] as const;
/** Histograms count microseconds, so that sub-millisecond latencies keep their digits. */
const microsecondsPerMillisecond = 1000;
const longestDuration = 3_600_000 * microsecondsPerMillisecond;

type Series = {
	readonly labels: Labels;
	readonly histogram: HdrHistogram;
	sum: number;
};

/**
 * One text for equal labels. Most series have no label or one, for which this is cheaper than JSON.
 */
function keyOf(labels: Labels): string {
	let key = '';
	for (const [name, value] of Object.entries(labels)) {
		key += `${name.length}:${name}${value.length}:${value}`;
	}

	return key;
}

export function createMetrics(options: MetricsOptions = {}): Metrics {
	const {prefix = 'shallotpond'} = options;
	const registry = new Registry();
	const counters = new Map<string, Counter>();
	const families = new Map<string, Map<string, Series>>();

	const fullName = (name: string) => `${prefix}_${name.replaceAll('-', '_')}`;

	function counterFor(name: string, labels: Labels): Counter {
		let counter = counters.get(name);
		if (counter === undefined) {
			counter = new Counter({
				name: `${fullName(name)}_total`,
				help: `Number of ${name.replaceAll('-', ' ')}`,
				labelNames: Object.keys(labels),
				registers: [registry],
			});
			counters.set(name, counter);
		}

		return counter;
	}

	function seriesFor(name: string, labels: Labels): Series {
		const family = families.get(name) ?? createFamily(name, Object.keys(labels));

		const key = keyOf(labels);
		let series = family.get(key);
		if (series === undefined) {
			const histogram = build({
				lowestDiscernibleValue: 1,
				highestTrackableValue: longestDuration,
				numberOfSignificantValueDigits: 2,
			});
			series = {labels, histogram, sum: 0};
			family.set(key, series);
		}

		return series;
	}

	function createFamily(name: string, labelNames: readonly string[]): Map<string, Series> {
		const family = new Map<string, Series>();
		families.set(name, family);
		const metric = `${fullName(name)}_milliseconds`;
		const value = new Gauge({
			name: metric,
			help: `Quantiles of ${name.replaceAll('-', ' ')}`,
			labelNames: [...labelNames, 'quantile'],
			registers: [registry],
			collect() {
				for (const series of family.values()) {
					for (const quantile of quantiles) {
						const microseconds = series.histogram.getValueAtPercentile(quantile * 100);
						const labels = {...series.labels, quantile: String(quantile)};
						value.set(labels, microseconds / microsecondsPerMillisecond);
					}
				}
			},
		});
		const count = new Gauge({
			name: `${metric}_count`,
			help: `Number of ${name.replaceAll('-', ' ')} recorded`,
			labelNames: [...labelNames],
			registers: [registry],
			collect() {
				for (const series of family.values()) {
					count.set({...series.labels}, series.histogram.totalCount);
				}
			},
		});
		const sum = new Gauge({
			name: `${metric}_sum`,
			help: `Sum of ${name.replaceAll('-', ' ')} recorded`,
			labelNames: [...labelNames],
			registers: [registry],
			collect() {
				for (const series of family.values()) {
					sum.set({...series.labels}, series.sum);
				}
			},
		});
		return family;
	}

	return {
		count(name, amount = 1, labels = {}) {
			counterFor(name, labels).inc({...labels}, amount);
		},
		async total(name) {
			const counter = counters.get(name);
			const metric = await counter?.get();
			return (metric?.values ?? []).reduce((total, {value}) => total + value, 0);
		},
		record(name, milliseconds, labels = {}) {
			const series = seriesFor(name, labels);
			const microseconds = Math.round(milliseconds * microsecondsPerMillisecond);
			series.histogram.recordValue(Math.min(Math.max(microseconds, 1), longestDuration));
			series.sum += milliseconds;
		},
		gauge(name, help, read) {
			const gauge = new Gauge({
				name: fullName(name),
				help,
				registers: [registry],
				collect() {
					gauge.set(read());
				},
			});
		},
		gaugeBy(name, help, label, read) {
			const gauge = new Gauge({
				name: fullName(name),
				help,
				labelNames: [label],
				registers: [registry],
				collect() {
					gauge.reset();
					for (const [labelValue, value] of read()) {
						gauge.set({[label]: labelValue}, value);
					}
				},
			});
		},
		render: async () => registry.metrics(),
		contentType: registry.contentType,
	};
}

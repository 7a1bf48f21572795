/**
 * Counters, gauges and latency histograms in the Prometheus text format. Latencies are recorded in
 * HDR histograms, which use a fixed amount of memory and report quantiles with an error of at most
 * 1%.
 */
import {build, type Histogram as HdrHistogram} from 'hdr-histogram-js';
import {Counter, Gauge, Registry} from 'prom-client';

export type Labels = Readonly<Record<string, string>>;

export type Metrics = {
	/**
	 * Increments a counter; `_total` is appended to its name. Labels must have few distinct values.
	 */
	count(name: string, amount?: number, labels?: Labels): void;
	/** Resolves with the sum of a counter over all its labels, for status pages and tests. */
	total(name: string): Promise<number>;
	/**
	 * Records a duration in milliseconds. The quantiles count a duration above one hour as one hour.
	 */
	recordDuration(name: string, milliseconds: number, labels?: Labels): void;
	/** Registers a gauge; `read` is called on each scrape. */
	registerGauge(name: string, help: string, read: () => number): void;
	/** Registers a gauge with one label; `read` returns a value for each value of the label. */
	registerLabelledGauge(
		name: string,
		help: string,
		label: string,
		read: () => Iterable<readonly [labelValue: string, value: number]>,
	): void;
	/** Renders all metrics in the Prometheus text format. */
	render(): Promise<string>;
	/** Media type of the rendered text. */
	readonly contentType: string;
};

export type MetricsOptions = {
	/** Prefix of all metric names, `shallotpond` by default. */
	readonly prefix?: string;
};

const quantiles = [0.5, 0.9, 0.99, 0.999] as const;
/** Histograms record integers, so microseconds preserve the precision of latencies below 1 ms. */
const microsecondsPerMillisecond = 1000;
const maxDurationMicroseconds = 3_600_000 * microsecondsPerMillisecond;

type Series = {
	readonly labels: Labels;
	readonly histogram: HdrHistogram;
	sum: number;
};

/**
 * Returns the same key for equal labels in the same order. Most series have at most one label, for
 * which this is faster than JSON.
 */
function createLabelsKey(labels: Labels): string {
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

	const formatName = (name: string) => `${prefix}_${name.replaceAll('-', '_')}`;

	function getCounter(name: string, labels: Labels): Counter {
		let counter = counters.get(name);
		if (counter === undefined) {
			counter = new Counter({
				name: `${formatName(name)}_total`,
				help: `Number of ${name.replaceAll('-', ' ')}`,
				labelNames: Object.keys(labels),
				registers: [registry],
			});
			counters.set(name, counter);
		}

		return counter;
	}

	function getSeries(name: string, labels: Labels): Series {
		const family = families.get(name) ?? createFamily(name, Object.keys(labels));

		const key = createLabelsKey(labels);
		let series = family.get(key);
		if (series === undefined) {
			const histogram = build({
				lowestDiscernibleValue: 1,
				highestTrackableValue: maxDurationMicroseconds,
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
		const baseName = `${formatName(name)}_milliseconds`;
		const quantileGauge = new Gauge({
			name: baseName,
			help: `Quantiles of ${name.replaceAll('-', ' ')}`,
			labelNames: [...labelNames, 'quantile'],
			registers: [registry],
			collect() {
				for (const series of family.values()) {
					for (const quantile of quantiles) {
						const microseconds = series.histogram.getValueAtPercentile(quantile * 100);
						const labels = {...series.labels, quantile: String(quantile)};
						quantileGauge.set(labels, microseconds / microsecondsPerMillisecond);
					}
				}
			},
		});
		const countGauge = new Gauge({
			name: `${baseName}_count`,
			help: `Number of ${name.replaceAll('-', ' ')} recorded`,
			labelNames: [...labelNames],
			registers: [registry],
			collect() {
				for (const series of family.values()) {
					countGauge.set({...series.labels}, series.histogram.totalCount);
				}
			},
		});
		const sumGauge = new Gauge({
			name: `${baseName}_sum`,
			help: `Sum of ${name.replaceAll('-', ' ')} recorded`,
			labelNames: [...labelNames],
			registers: [registry],
			collect() {
				for (const series of family.values()) {
					sumGauge.set({...series.labels}, series.sum);
				}
			},
		});
		return family;
	}

	return {
		count(name, amount = 1, labels = {}) {
			getCounter(name, labels).inc({...labels}, amount);
		},
		async total(name) {
			const counter = counters.get(name);
			const metric = await counter?.get();
			return (metric?.values ?? []).reduce((total, {value}) => total + value, 0);
		},
		recordDuration(name, milliseconds, labels = {}) {
			const series = getSeries(name, labels);
			const microseconds = Math.round(milliseconds * microsecondsPerMillisecond);
			series.histogram.recordValue(Math.min(Math.max(microseconds, 1), maxDurationMicroseconds));
			series.sum += milliseconds;
		},
		registerGauge(name, help, read) {
			const gauge = new Gauge({
				name: formatName(name),
				help,
				registers: [registry],
				collect() {
					gauge.set(read());
				},
			});
		},
		registerLabelledGauge(name, help, label, read) {
			const gauge = new Gauge({
				name: formatName(name),
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

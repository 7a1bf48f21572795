/**
 * OpenTelemetry traces with a span for each hop of a request: the request of the caller, admission,
 * the queue and each attempt at a target. Trace context is propagated in the W3C `traceparent`
 * header. Spans are exported over OTLP/HTTP if an endpoint is set.
 */
import {
	ROOT_CONTEXT,
	SpanKind,
	SpanStatusCode,
	trace,
	type Context,
	type Span,
} from '@opentelemetry/api';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
	BatchSpanProcessor,
	ParentBasedSampler,
	TraceIdRatioBasedSampler,
	BasicTracerProvider,
	type SpanProcessor,
} from '@opentelemetry/sdk-trace-base';

export type TracingOptions = {
	/** URL of an OTLP/HTTP collector, for example `http://127.0.0.1:4318/v1/traces`. */
	readonly endpoint?: string;
	/** Ratio of recorded traces among those that start in this process, from 0 to 1. */
	readonly sampleRatio: number;
	readonly instance: string;
	/** Replaces the exporter in tests. */
	readonly processor?: SpanProcessor;
};

export type TraceSpanOptions = {
	readonly name: string;
	readonly kind?: 'server' | 'client' | 'internal';
	/** Value of the received `traceparent` header; ignored if malformed, or if `parent` is given. */
	readonly traceparent?: string | undefined;
	readonly parent?: TraceSpan | undefined;
	readonly attributes?: Readonly<Record<string, string | number | boolean>>;
};

/** The span of one hop of a request, for example of its admission or of one attempt. */
export type TraceSpan = {
	/** Value of the `traceparent` header to send, with this span as the parent. */
	readonly traceparent: string;
	readonly context: Context;
	/** False if the trace is not sampled, so that its spans are not exported. */
	readonly isRecorded: boolean;
	/** Adds attributes to the span. */
	annotate(attributes: Readonly<Record<string, string | number | boolean>>): void;
	/** Ends the span; `failure` sets its status to error, with that message. */
	end(failure?: string): void;
};

export type Tracing = {
	startSpan(options: TraceSpanOptions): TraceSpan;
	/** Exports queued spans and shuts down. */
	stop(): Promise<void>;
};

const spanKinds = {
	server: SpanKind.SERVER,
	client: SpanKind.CLIENT,
	internal: SpanKind.INTERNAL,
} as const;

const traceparentPattern = /^[\da-f]{2}-([\da-f]{32})-([\da-f]{16})-([\da-f]{2})$/;
const allZeros = /^0+$/;
const sampledFlag = 1;

/**
 * Returns the context of a `traceparent` header, or the root context if the header is absent or
 * malformed.
 */
export function contextFromTraceparent(traceparent: string | undefined): Context {
	const [, traceId, spanId, flags] = traceparentPattern.exec(traceparent ?? '') ?? [];
	const isValid =
		traceId !== undefined &&
		spanId !== undefined &&
		!allZeros.test(traceId) &&
		!allZeros.test(spanId) &&
		!traceparent!.startsWith('ff');
	if (!isValid) {
		return ROOT_CONTEXT;
	}

	// eslint-disable-next-line no-bitwise -- trace flags are a bit field
	const traceFlags = Number.parseInt(flags ?? '0', 16) & sampledFlag;
	return trace.setSpanContext(ROOT_CONTEXT, {traceId, spanId, traceFlags, isRemote: true});
}

function createTraceSpan(span: Span, parent: Context): TraceSpan {
	const {traceId, spanId, traceFlags} = span.spanContext();
	return {
		traceparent: `00-${traceId}-${spanId}-${traceFlags.toString(16).padStart(2, '0')}`,
		get context() {
			return trace.setSpan(parent, span);
		},
		isRecorded: span.isRecording(),
		annotate(attributes) {
			span.setAttributes(attributes);
		},
		end(failure) {
			if (failure !== undefined) {
				span.setStatus({code: SpanStatusCode.ERROR, message: failure});
			}

			span.end();
		},
	};
}

export function createTracing(options: TracingOptions): Tracing {
	const processors: SpanProcessor[] = [];
	if (options.processor !== undefined) {
		processors.push(options.processor);
	} else if (options.endpoint !== undefined) {
		processors.push(new BatchSpanProcessor(new OTLPTraceExporter({url: options.endpoint})));
	}

	const provider = new BasicTracerProvider({
		resource: resourceFromAttributes({
			'service.name': 'shallotpond',
			'service.instance.id': options.instance,
		}),
		sampler: new ParentBasedSampler({root: new TraceIdRatioBasedSampler(options.sampleRatio)}),
		spanProcessors: processors,
	});
	const tracer = provider.getTracer('shallotpond');

	return {
		startSpan({name, kind = 'internal', traceparent, parent, attributes = {}}) {
			if (parent?.isRecorded === false) {
				// The sampler would not record a child span either, so none is created.
				return parent;
			}

			const context = parent?.context ?? contextFromTraceparent(traceparent);
			return createTraceSpan(
				tracer.startSpan(name, {kind: spanKinds[kind], attributes}, context),
				context,
			);
		},
		stop: async () => provider.shutdown(),
	};
}

/**
 * OpenTelemetry tracing with one span for each operation. Without an exporter
 * the no-op tracer of the API is used.
 *
 * @module
 */
import {
  type Attributes,
  type Context,
  propagation,
  ROOT_CONTEXT,
  type Span,
  SpanKind,
  SpanStatusCode,
  trace,
} from "@opentelemetry/api";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { resourceFromAttributes } from "@opentelemetry/resources";
import {
  BasicTracerProvider,
  BatchSpanProcessor,
  type SpanProcessor,
} from "@opentelemetry/sdk-trace-base";
import { W3CTraceContextPropagator } from "@opentelemetry/core";

/** Where spans are exported to. */
export interface TracingOptions {
  readonly exporter: "none" | "otlp";
  readonly endpoint: string;
  readonly instance: string;
}

/** Headers that propagate the trace context. */
export type Carrier = Record<string, string>;

/** Starts tracing; returns a function that flushes the remaining spans and shuts tracing down. */
export function startTracing(options: TracingOptions): () => Promise<void> {
  if (options.exporter === "none") return () => Promise.resolve();
  const exporter = new OTLPTraceExporter({ url: options.endpoint });
  return installSpanProcessor(
    new BatchSpanProcessor(exporter),
    options.instance,
  );
}

/** Passes all spans of an instance to a processor; returns a function that flushes the rest and shuts down. */
export function installSpanProcessor(
  processor: SpanProcessor,
  instance: string,
): () => Promise<void> {
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({
      "service.name": "zinniapoint",
      "service.instance.id": instance,
    }),
    spanProcessors: [processor],
  });
  trace.setGlobalTracerProvider(provider);
  propagation.setGlobalPropagator(new W3CTraceContextPropagator());
  return () => provider.shutdown();
}

/**
 * Runs an action within a new span. The parent of the span is read from `carrier`; `outgoing` carries the context of
 * the new span to the next operation.
 */
export async function withSpan<T>(
  name: string,
  options: {
    readonly carrier: Readonly<Carrier>;
    readonly attributes?: Attributes;
    readonly kind?: SpanKind;
  },
  action: (outgoing: Carrier, span: Span) => Promise<T>,
): Promise<T> {
  const parent = propagation.extract(ROOT_CONTEXT, options.carrier);
  const { attributes, kind } = options;
  const tracer = trace.getTracer("zinniapoint");
  const span = tracer.startSpan(name, { attributes, kind }, parent);
  const childContext = trace.setSpan(parent, span);
  try {
    return await action(injectContext(childContext), span);
  } catch (error) {
    span.setStatus({ code: SpanStatusCode.ERROR });
    throw error;
  } finally {
    span.end();
  }
}

function injectContext(context: Context): Carrier {
  const carrier: Carrier = {};
  propagation.inject(context, carrier);
  return carrier;
}

/**
 * Spans for each hop, by OpenTelemetry. Without an exporter the API's no-op
 * tracer is used.
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

/** Where spans go. */
export interface TracingOptions {
  readonly exporter: "none" | "otlp";
  readonly endpoint: string;
  readonly instance: string;
}

/** Headers that carry the context of a trace. */
export type Carrier = Record<string, string>;

/** Switches tracing on; gives a function that flushes what is left. */
export function startTracing(options: TracingOptions): () => Promise<void> {
  if (options.exporter === "none") return () => Promise.resolve();
  const exporter = new OTLPTraceExporter({ url: options.endpoint });
  return useProcessor(new BatchSpanProcessor(exporter), options.instance);
}

/** Sends the spans of an instance to a processor; gives a function that flushes what is left. */
export function useProcessor(
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

/** Runs one hop within a span whose parent comes in by `carrier`; the span's own context goes out by `outgoing`. */
export async function traced<T>(
  name: string,
  hop: {
    readonly carrier: Readonly<Carrier>;
    readonly attributes?: Attributes;
    readonly kind?: SpanKind;
  },
  action: (outgoing: Carrier, span: Span) => Promise<T>,
): Promise<T> {
  const parent = propagation.extract(ROOT_CONTEXT, hop.carrier);
  const { attributes, kind } = hop;
  const tracer = trace.getTracer("zinniapoint");
  const span = tracer.startSpan(name, { attributes, kind }, parent);
  const own = trace.setSpan(parent, span);
  try {
    return await action(carrierOf(own), span);
  } catch (error) {
    span.setStatus({ code: SpanStatusCode.ERROR });
    throw error;
  } finally {
    span.end();
  }
}

function carrierOf(own: Context): Carrier {
  const carrier: Carrier = {};
  propagation.inject(own, carrier);
  return carrier;
}

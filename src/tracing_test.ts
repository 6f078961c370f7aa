import test from "ava";
import { propagation, SpanKind, trace } from "@opentelemetry/api";
import {
  InMemorySpanExporter,
  SimpleSpanProcessor,
} from "@opentelemetry/sdk-trace-base";
import { installSpanProcessor, withSpan } from "./tracing.ts";

test.afterEach(() => {
  trace.disable();
  propagation.disable();
});

function startRecording() {
  const exporter = new InMemorySpanExporter();
  const stop = installSpanProcessor(new SimpleSpanProcessor(exporter), "i-1");
  return { exporter, stop };
}

test.serial("without tracing, no span is recorded and no context is propagated", async (t) => {
  const carrier = await withSpan(
    "hop",
    { carrier: {} },
    (outgoing) => Promise.resolve(outgoing),
  );
  t.deepEqual(carrier, {});
});

test.serial("nested operations have nested spans of one trace", async (t) => {
  const { exporter } = startRecording();
  const parent = "0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331";
  const carrier = { traceparent: `00-${parent}-01` };
  await withSpan(
    "request",
    { carrier },
    (outgoing) =>
      withSpan("run", { carrier: outgoing, kind: SpanKind.CLIENT }, (last) => {
        t.regex(last.traceparent!, /^00-0af7651916cd43dd8448eb211c80319c-/);
        return Promise.resolve();
      }),
  );
  const [run, request] = exporter.getFinishedSpans();
  t.is(request!.name, "request");
  t.is(request!.parentSpanContext!.spanId, "b7ad6b7169203331");
  t.is(run!.parentSpanContext!.spanId, request!.spanContext().spanId);
  t.is(run!.spanContext().traceId, "0af7651916cd43dd8448eb211c80319c");
  t.is(run!.kind, SpanKind.CLIENT);
});

test.serial("a malformed parent context starts a new trace", async (t) => {
  const { exporter } = startRecording();
  const carrier = { traceparent: "00-nothing-01" };
  await withSpan("request", { carrier }, () => Promise.resolve());
  const [span] = exporter.getFinishedSpans();
  t.is(span!.parentSpanContext, undefined);
});

test.serial("a failed operation ends its span with an error status", async (t) => {
  const { exporter } = startRecording();
  const fail = () => Promise.reject(new RangeError("broken"));
  await t.throwsAsync(withSpan("request", { carrier: {} }, fail));
  t.is(exporter.getFinishedSpans()[0]!.status.code, 2);
});

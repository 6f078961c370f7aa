import test from "ava";
import { propagation, SpanKind, trace } from "@opentelemetry/api";
import {
  InMemorySpanExporter,
  SimpleSpanProcessor,
} from "@opentelemetry/sdk-trace-base";
import { traced, useProcessor } from "./tracing.ts";

test.afterEach(() => {
  trace.disable();
  propagation.disable();
});

function record() {
  const exporter = new InMemorySpanExporter();
  const stop = useProcessor(new SimpleSpanProcessor(exporter), "i-1");
  return { exporter, stop };
}

test.serial("nothing is recorded or sent on while tracing is off", async (t) => {
  const carrier = await traced(
    "hop",
    { carrier: {} },
    (outgoing) => Promise.resolve(outgoing),
  );
  t.deepEqual(carrier, {});
});

test.serial("each hop is a span below the one before", async (t) => {
  const { exporter } = record();
  const parent = "0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331";
  const carrier = { traceparent: `00-${parent}-01` };
  await traced(
    "request",
    { carrier },
    (outgoing) =>
      traced("run", { carrier: outgoing, kind: SpanKind.CLIENT }, (last) => {
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

test.serial("a malformed parent starts a new trace", async (t) => {
  const { exporter } = record();
  const carrier = { traceparent: "00-nothing-01" };
  await traced("request", { carrier }, () => Promise.resolve());
  const [span] = exporter.getFinishedSpans();
  t.is(span!.parentSpanContext, undefined);
});

test.serial("a hop that fails ends its span as an error", async (t) => {
  const { exporter } = record();
  const fail = () => Promise.reject(new RangeError("broken"));
  await t.throwsAsync(traced("request", { carrier: {} }, fail));
  t.is(exporter.getFinishedSpans()[0]!.status.code, 2);
});

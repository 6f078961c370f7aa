import test, { type ExecutionContext } from "ava";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { eventually } from "./_faulted_load_test.ts";
import { call } from "./http.ts";
import { smallSet } from "./small_set.ts";
import { Testbed } from "./testbed.ts";

/** Span of an OTLP message with the instance that sent it. */
interface CollectedSpan {
  readonly name: string;
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId?: string;
  readonly instance: string;
}

interface ExportedSpans {
  readonly resourceSpans: readonly {
    readonly resource: {
      readonly attributes: readonly {
        readonly key: string;
        readonly value: { readonly stringValue: string };
      }[];
    };
    readonly scopeSpans: readonly {
      readonly spans: readonly Omit<CollectedSpan, "instance">[];
    }[];
  }[];
}

/** Starts an OTLP endpoint that collects the spans it receives. */
async function startCollector(t: ExecutionContext) {
  const spans: CollectedSpan[] = [];
  const server = createServer(async (request, response) => {
    let text = "";
    for await (const chunk of request) text += String(chunk);
    spans.push(...spansOf(JSON.parse(text) as ExportedSpans));
    response.writeHead(200, { "content-type": "application/json" }).end("{}");
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return { spans, endpoint: `http://127.0.0.1:${port}/v1/traces` };
}

function spansOf(exported: ExportedSpans): CollectedSpan[] {
  return exported.resourceSpans.flatMap(({ resource, scopeSpans }) => {
    const instance = resource.attributes
      .find(({ key }) => key === "service.instance.id")!.value.stringValue;
    return scopeSpans.flatMap(({ spans }) =>
      spans.map((span) => ({ ...span, instance }))
    );
  });
}

test("spans of a forwarded request are linked across processes", async (t) => {
  const { spans, endpoint } = await startCollector(t);
  const { text, keys } = smallSet();
  const bed = await Testbed.start({
    instances: 2,
    workers: 1,
    zones: ["zone-1"],
    traceEndpoint: endpoint,
    set: text,
  });
  t.teardown(() => bed.stop());
  const traceId = "0af7651916cd43dd8448eb211c80319c";
  for (const node of bed.instances) {
    const { status } = await call(node.callers, {
      path: "/v1/request/recipe-check/x",
      headers: {
        authorization: `Bearer ${keys["counter"]}`,
        traceparent: `00-${traceId}-b7ad6b7169203331-01`,
      },
    });
    t.is(status, 200);
  }
  const named = (name: string) =>
    spans.filter((span) => span.traceId === traceId && span.name === name);
  t.true(
    await eventually(() =>
      named("request").length === 2 && named("upstream").length === 2 &&
      named("forward").length === 1
    ),
  );
  const [forward] = named("forward");
  const requests = named("request");
  t.true(requests.every((span) => span.parentSpanId === "b7ad6b7169203331"));
  t.true(requests.some(({ spanId }) => spanId === forward!.parentSpanId));
  const far = named("upstream")
    .find(({ parentSpanId }) => parentSpanId === forward!.spanId)!;
  t.not(far.instance, forward!.instance);
  const near = named("upstream").find((span) => span !== far)!;
  t.true(requests.some(({ spanId }) => spanId === near.parentSpanId));
});

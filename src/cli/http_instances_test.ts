import { Buffer } from "node:buffer";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import type { ToolFailure } from "./failures.ts";
import { HttpInstances } from "./http_instances.ts";
import type { InstanceCall } from "./tool.ts";

/** A port that nothing listens on. */
const CLOSED = "127.0.0.1:1";

function serve(
  t: ExecutionContext,
  listener: RequestListener,
): Promise<string> {
  const server: Server = createServer(listener);
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      resolve(`127.0.0.1:${port}`);
    });
  });
}

function open(t: ExecutionContext, addresses: readonly string[]) {
  const instances = new HttpInstances(addresses);
  t.teardown(() => instances.close());
  return instances;
}

const cut: RequestListener = (request) => request.socket.destroy();

const get: InstanceCall = { method: "GET", path: "/v1/status" };

test("sends the key, the headers and the body", async (t) => {
  const seen: unknown[] = [];
  const address = await serve(t, (request, response) => {
    const { method, url, headers } = request;
    seen.push(method, url, headers.authorization, headers["x-a"]);
    request.on("data", (data) => seen.push(String(data)));
    request.on("end", () => response.writeHead(202).end("yes"));
  });
  const sent = await open(t, [address]).send({
    method: "POST",
    path: "/v1/work?x=1",
    key: "a.b",
    headers: { "x-a": "1" },
    body: Buffer.from("body"),
  });
  const answer = sent._unsafeUnwrap();
  t.is(answer.status, 202);
  t.is(Buffer.from(answer.body).toString(), "yes");
  t.deepEqual(seen, ["POST", "/v1/work?x=1", "Bearer a.b", "1", "body"]);
});

interface Fault {
  readonly name: string;
  /** What each address does: nothing listens, the connection is cut, or it answers. */
  readonly addresses: readonly ("closed" | "cut" | "answers")[];
  readonly call: InstanceCall;
  /** Absent if there is an answer. */
  readonly type?: ToolFailure["type"];
}

const faults: readonly Fault[] = [
  { name: "none set", addresses: [], call: get, type: "usage" },
  {
    name: "all closed",
    addresses: ["closed", "closed"],
    call: get,
    type: "instanceUnreachable",
  },
  { name: "first closed", addresses: ["closed", "answers"], call: get },
  {
    name: "first cut",
    addresses: ["cut", "answers"],
    call: get,
    type: "instanceSilent",
  },
  {
    name: "first cut, idempotent",
    addresses: ["cut", "answers"],
    call: { ...get, idempotent: true },
  },
];

for (const { name, addresses, call, type } of faults) {
  test(`instances: ${name}`, async (t) => {
    const listeners = {
      closed: () => Promise.resolve(CLOSED),
      cut: () => serve(t, cut),
      answers: () => serve(t, (_, response) => response.end("{}")),
    };
    const places = await Promise.all(
      addresses.map((kind) => listeners[kind]()),
    );
    const result = await open(t, places).send(call);
    t.is(result.isErr() ? result.error.type : undefined, type);
  });
}

test("gives up an instance that says nothing", async (t) => {
  const address = await serve(t, () => {});
  const call = { ...get, timeoutMs: 200 };
  const result = await open(t, [address]).send(call);
  t.is(result._unsafeUnwrapErr().type, "instanceSilent");
});

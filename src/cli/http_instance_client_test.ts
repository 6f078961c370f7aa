import { Buffer } from "node:buffer";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import type { ToolFailure } from "./failures.ts";
import { HttpInstanceClient } from "./http_instance_client.ts";
import type { InstanceRequest } from "./tool.ts";

/** An address that nothing listens on. */
const CLOSED_ADDRESS = "127.0.0.1:1";

/** Starts a server and returns its address. */
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
  const instances = new HttpInstanceClient(addresses);
  t.teardown(() => instances.close());
  return instances;
}

/** Closes the connection without a response. */
const cutConnection: RequestListener = (request) => request.socket.destroy();

const get: InstanceRequest = { method: "GET", path: "/v1/status" };

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
  const response = sent._unsafeUnwrap();
  t.is(response.status, 202);
  t.is(Buffer.from(response.body).toString(), "yes");
  t.deepEqual(seen, ["POST", "/v1/work?x=1", "Bearer a.b", "1", "body"]);
});

interface AddressCase {
  readonly name: string;
  /** Behavior of each address: nothing listens, the connection is cut, or a response is sent. */
  readonly addresses: readonly ("closed" | "cut" | "answers")[];
  readonly request: InstanceRequest;
  /** Type of the failure; absent if a response is returned. */
  readonly type?: ToolFailure["type"];
}

const addressCases: readonly AddressCase[] = [
  { name: "no addresses", addresses: [], request: get, type: "usage" },
  {
    name: "all unreachable",
    addresses: ["closed", "closed"],
    request: get,
    type: "instanceUnreachable",
  },
  { name: "first unreachable", addresses: ["closed", "answers"], request: get },
  {
    name: "first cuts the connection",
    addresses: ["cut", "answers"],
    request: get,
    type: "instanceSilent",
  },
  {
    name: "first cuts the connection, idempotent",
    addresses: ["cut", "answers"],
    request: { ...get, idempotent: true },
  },
];

for (const { name, addresses, request, type } of addressCases) {
  test(`instances: ${name}`, async (t) => {
    const listeners = {
      closed: () => Promise.resolve(CLOSED_ADDRESS),
      cut: () => serve(t, cutConnection),
      answers: () => serve(t, (_, response) => response.end("{}")),
    };
    const servers = await Promise.all(
      addresses.map((kind) => listeners[kind]()),
    );
    const result = await open(t, servers).send(request);
    t.is(result.isErr() ? result.error.type : undefined, type);
  });
}

test("a request without a response times out", async (t) => {
  const address = await serve(t, () => {});
  const request = { ...get, timeoutMs: 200 };
  const result = await open(t, [address]).send(request);
  t.is(result._unsafeUnwrapErr().type, "instanceSilent");
});

import test from "ava";
import { Buffer } from "node:buffer";
import { Agent, request } from "undici";
import { eventually } from "../adapters/_eventually_test.ts";
import { ManualClock } from "../clock.ts";
import type { Outcome } from "../types.ts";
import {
  answerTo,
  callRaw,
  done,
  head,
  openListener,
} from "./_fixtures_test.ts";
import { BODY_LIMIT_BYTES } from "./bodies.ts";

const KIB = 1024;

const paths = [
  { name: "nothing there", line: "GET /nothing", status: 404 },
  { name: "two slashes", line: "GET //", status: 404 },
  { name: "a host of its own", line: "GET //[", status: 404 },
  { name: "no URL", line: "GET http://[", status: 400 },
  { name: "an asterisk", line: "OPTIONS *", status: 400 },
  { name: "bad escape", line: "GET /v1/request/%zz", status: 404 },
  { name: "no workload", line: "GET /v1/request/", status: 404 },
  { name: "wrong method", line: "DELETE /healthz", status: 405 },
  { name: "unknown method", line: "BREW /healthz", status: 400 },
  { name: "found", line: "GET /healthz", status: 200 },
  { name: "absolute", line: "GET http://h/healthz", status: 200 },
];

for (const { name, line, status } of paths) {
  test(`a path: ${name}`, async (t) => {
    const listener = await openListener(t, {
      routes: [{
        method: "GET",
        pattern: "/healthz",
        answer: ({ response }) => void response.end(),
      }],
    });
    const answer = await answerTo(t, listener.address, head(line));
    t.is(answer.split(" ")[1], String(status));
    t.is(listener.exchanges.length, 0);
  });
}

test("a refused path says that nothing has run", async (t) => {
  const { address } = await openListener(t);
  const answer = await answerTo(t, address, head("GET /nothing"));
  t.regex(answer, /zinniapoint-outcome: notRun\r\n/);
});

test("a wrong method says which are right", async (t) => {
  const answer = () => {};
  const { address } = await openListener(t, {
    routes: [
      { method: "GET", pattern: "/x", answer },
      { method: "POST", pattern: "/x", answer },
    ],
  });
  const refused = await answerTo(t, address, head("DELETE /x"));
  t.regex(refused, /allow: GET, POST\r\n/);
});

test("a route that fails says that the outcome is unknown", async (t) => {
  const listener = await openListener(t, {
    handle: () => Promise.reject(new RangeError("broken")),
  });
  const answer = await answerTo(t, listener.address, head("GET /v1/request/w"));
  t.regex(answer, /^HTTP\/1.1 500 /);
  t.regex(answer, /zinniapoint-outcome: unknown\r\n/);
  t.true(listener.log.has("http.failed", { message: "broken" }));
  t.is(listener.bodies.heldBytes, 0);
});

test("a route that fails gives back the memory of its body", async (t) => {
  const listener = await openListener(t, {
    handle: () => Promise.reject(new RangeError("broken")),
  });
  const bytes = head("POST /v1/request/w", "content-length: 3") + "abc";
  await answerTo(t, listener.address, bytes);
  t.is(listener.bodies.heldBytes, 0);
});

const heads = [
  { name: "no HTTP", bytes: "hello\r\n\r\n", status: 400 },
  {
    name: "two lengths",
    bytes: head("POST /v1/request/w", "content-length: 1", "content-length: 2"),
    status: 400,
  },
  {
    name: "length and chunks",
    bytes: head(
      "POST /v1/request/w",
      "content-length: 1",
      "transfer-encoding: chunked",
    ),
    status: 400,
  },
  {
    name: "unknown encoding",
    bytes: head("POST /v1/request/w", "transfer-encoding: zip"),
    status: 400,
  },
  {
    name: "long headers",
    bytes: head("GET /v1/request/w", "x: " + "x".repeat(20 * KIB)),
    status: 431,
  },
];

for (const { name, bytes, status } of heads) {
  test(`a malformed request: ${name}`, async (t) => {
    const listener = await openListener(t);
    const answer = await answerTo(t, listener.address, bytes);
    t.is(answer.split(" ")[1], String(status));
    t.is(listener.exchanges.length, 0);
  });
}

test("a malformed chunk runs nothing", async (t) => {
  const listener = await openListener(t);
  const bytes = head("POST /v1/request/w", "transfer-encoding: chunked");
  await answerTo(t, listener.address, bytes + "zz\r\n");
  t.is(listener.exchanges.length, 0);
});

const oversize = [
  {
    name: "declared",
    header: `content-length: ${4 * BODY_LIMIT_BYTES}`,
    piece: "x".repeat(64 * KIB),
  },
  {
    name: "chunked",
    header: "transfer-encoding: chunked",
    piece: "10000\r\n" + "x".repeat(64 * KIB) + "\r\n",
  },
];

for (const { name, header, piece } of oversize) {
  test(`a body that is too large gets a whole answer: ${name}`, async (t) => {
    const listener = await openListener(t);
    const bytes = head("POST /v1/request/w", header);
    const caller = callRaw(t, listener.address, bytes);
    for (let sent = 0; sent < 2 * BODY_LIMIT_BYTES; sent += 64 * KIB) {
      if (caller.closed()) break;
      caller.socket.write(piece);
    }
    await eventually(() => caller.text().endsWith("}\n"));
    t.is(caller.error(), undefined);
    t.regex(caller.text(), /^HTTP\/1.1 413 /);
    t.regex(caller.text(), /zinniapoint-outcome: notRun\r\n/);
    t.regex(caller.text(), /"type":"tooLarge","outcome":"notRun"/);
    t.is(listener.exchanges.length, 0);
    t.is(listener.bodies.heldBytes, 0);
  });
}

test("a caller that never ends its oversize body is cut off", async (t) => {
  const clock = new ManualClock();
  const listener = await openListener(t, { clock });
  const length = `content-length: ${4 * BODY_LIMIT_BYTES}`;
  const bytes = head("POST /v1/request/w", length);
  const caller = callRaw(t, listener.address, bytes + "x");
  await eventually(() => caller.text().endsWith("}\n"));
  await eventually(async () => {
    await clock.run(1_000, 100);
    return caller.closed();
  });
  t.pass();
});

test("slow headers are cut off", async (t) => {
  const clock = new ManualClock();
  const listener = await openListener(t, { clock });
  const caller = callRaw(t, listener.address, "GET / HTTP/1.1\r\n");
  await eventually(() => listener.server.connections === 1);
  clock.advance(20_000);
  await eventually(caller.closed);
  t.pass();
});

test("a connection that says nothing is cut off", async (t) => {
  const clock = new ManualClock();
  const listener = await openListener(t, { clock });
  const caller = callRaw(t, listener.address, "");
  await eventually(() => listener.server.connections === 1);
  clock.advance(20_000);
  await eventually(caller.closed);
  t.pass();
});

test("a body that drips in is cut off", async (t) => {
  const clock = new ManualClock();
  const listener = await openListener(t, { clock });
  const bytes = head("POST /v1/request/w", "content-length: 9") + "x";
  const caller = callRaw(t, listener.address, bytes);
  await eventually(() => listener.bodies.heldBytes === 1);
  clock.advance(60_001);
  await eventually(caller.closed);
  await eventually(() => listener.bodies.heldBytes === 0);
  t.is(listener.exchanges.length, 0);
});

test("a caller that goes away abandons its request", async (t) => {
  let finish = (_: Outcome) => {};
  const listener = await openListener(t, {
    handle: () => new Promise((resolve) => finish = resolve),
  });
  const caller = callRaw(t, listener.address, head("GET /v1/request/w"));
  await eventually(() => listener.exchanges.length === 1);
  const [exchange] = listener.exchanges;
  t.false(exchange!.abandoned());
  caller.socket.destroy();
  await eventually(() => listener.abandoned.length === 1);
  t.deepEqual(listener.abandoned, [exchange!.id]);
  t.true(exchange!.abandoned());
  finish(done);
  await eventually(() => listener.server.active === 0);
});

test("a caller that goes away while it sends runs nothing", async (t) => {
  const listener = await openListener(t);
  const bytes = head("POST /v1/request/w", "content-length: 9") + "x";
  const caller = callRaw(t, listener.address, bytes);
  await eventually(() => listener.bodies.heldBytes === 1);
  caller.socket.resetAndDestroy();
  await eventually(() => listener.server.active === 0);
  t.is(listener.bodies.heldBytes, 0);
  t.is(listener.exchanges.length, 0);
});

test("an answered request is not abandoned", async (t) => {
  const listener = await openListener(t);
  await answerTo(t, listener.address, head("GET /v1/request/w"));
  t.deepEqual(listener.abandoned, []);
});

test("headers of the connection are not passed on", async (t) => {
  const listener = await openListener(t);
  await answerTo(
    t,
    listener.address,
    [
      "POST /v1/request/w/a%2Fb/c?d=e%20f HTTP/1.1",
      "Host: x",
      "Connection: close, X-Hop",
      "X-Hop: 1",
      "Keep-Alive: timeout=5",
      "Proxy-Authorization: secret",
      "Proxy-Connection: close",
      "TE: trailers",
      "Trailer: x",
      "Transfer-Encoding: chunked",
      "Upgrade: h2c",
      "Authorization: Bearer the-key",
      "X-Kept: a",
      "X-Kept: b",
      "Content-Encoding: gzip",
      "",
      "1\r\nx\r\n0\r\n\r\n",
    ].join("\r\n"),
  );
  const [exchange] = listener.exchanges;
  const { "zinniapoint-request": id, ...headers } = exchange!.headers;
  t.is(id, exchange!.id);
  t.deepEqual(headers, { "x-kept": "a, b", "content-encoding": "gzip" });
  t.is(exchange!.key, "the-key");
  t.is(exchange!.path, "/a%2Fb/c?d=e%20f");
});

test("a path cannot leave the workload's", async (t) => {
  const listener = await openListener(t);
  const line = "GET /v1/request/w/x/../../../../admin";
  const answer = await answerTo(t, listener.address, head(line));
  t.regex(answer, /^HTTP\/1.1 404 /);
  t.is(listener.exchanges.length, 0);
});

const keys = [
  { name: "none", header: "x: y", key: undefined },
  { name: "bearer", header: "authorization: Bearer k", key: "k" },
  { name: "scheme in lower case", header: "authorization: bearer k", key: "k" },
  { name: "other scheme", header: "authorization: Basic k", key: undefined },
  { name: "empty", header: "authorization: Bearer", key: undefined },
  { name: "two", header: "authorization: Bearer k l", key: undefined },
];

for (const { name, header, key } of keys) {
  test(`the presented key: ${name}`, async (t) => {
    const listener = await openListener(t);
    const bytes = head("GET /v1/request/w", header);
    await answerTo(t, listener.address, bytes);
    t.is(listener.exchanges[0]?.key, key);
  });
}

test("bytes are passed on and back unchanged", async (t) => {
  const sent = Buffer.from(Array.from({ length: 256 }, (_, byte) => byte));
  const listener = await openListener(t, {
    handle: ({ body }) =>
      Promise.resolve({
        type: "done",
        answer: { status: 201, headers: { x: "y" }, body, worker: "worker-1" },
      }),
  });
  const { statusCode, headers, body } = await request(
    `http://${listener.address}/v1/request/w`,
    { method: "POST", body: sent },
  );
  t.is(statusCode, 201);
  t.is(headers["x"], "y");
  t.is(headers["zinniapoint-outcome"], "done");
  t.is(headers["zinniapoint-worker"], "worker-1");
  t.deepEqual(Buffer.from(await body.arrayBuffer()), sent);
});

const bodyless = [
  { name: "no content", status: 204, method: "GET" },
  { name: "not modified", status: 304, method: "GET" },
  { name: "head", status: 200, method: "HEAD" },
];

for (const { name, status, method } of bodyless) {
  test(`an answer without a body: ${name}`, async (t) => {
    const listener = await openListener(t, {
      handle: () =>
        Promise.resolve({
          type: "done",
          answer: { status, headers: {}, body: "", worker: "worker-1" },
        }),
    });
    const line = `${method} /v1/request/w`;
    const answer = await answerTo(t, listener.address, head(line));
    t.is(answer.split(" ")[1], String(status));
    t.notRegex(answer, /content-length/);
  });
}

test("names that no operator gave make no series", async (t) => {
  const listener = await openListener(t);
  for (const workload of ["w", "x", "y"]) {
    const bytes = head(`GET /v1/request/${workload}`);
    await answerTo(t, listener.address, bytes);
  }
  const page = listener.metrics.render();
  t.regex(page, /requests_total\{workload="w",outcome="done"\} 1/);
  t.regex(page, /requests_total\{workload="",outcome="done"\} 2/);
  t.notRegex(page, /workload="x"/);
});

test("a shutdown answers what is in flight and ends its connections", async (t) => {
  let finish = (_: Outcome) => {};
  const listener = await openListener(t, {
    handle: () => new Promise((resolve) => finish = resolve),
  });
  const agent = new Agent({ keepAliveTimeout: 600_000 });
  t.teardown(() => agent.destroy());
  const answer = request(`http://${listener.address}/v1/request/w`, {
    dispatcher: agent,
  });
  await eventually(() => listener.exchanges.length === 1);
  let closed = false;
  const closing = listener.server.close().then(() => closed = true);
  t.false(closed);
  finish(done);
  const { statusCode, headers, body } = await answer;
  await body.text();
  t.is(statusCode, 200);
  t.is(headers.connection, "close");
  await closing;
  t.true(closed);
});

test("a shutdown does not wait for connections that say nothing", async (t) => {
  const clock = new ManualClock();
  const listener = await openListener(t, { clock });
  const caller = callRaw(t, listener.address, "");
  await eventually(() => listener.server.connections === 1);
  const closing = listener.server.close();
  clock.advance(1_001);
  await closing;
  await eventually(caller.closed);
  t.pass();
});

test("a shutdown answers a request whose headers are on their way", async (t) => {
  const listener = await openListener(t, { clock: new ManualClock() });
  const caller = callRaw(t, listener.address, "GET /v1/request/w HTTP/1.1\r\n");
  await eventually(() => listener.server.connections === 1);
  const closing = listener.server.close();
  caller.socket.write("host: x\r\n\r\n");
  await closing;
  await eventually(caller.closed);
  t.regex(caller.text(), /^HTTP\/1.1 200 /);
});

test("a shutdown ends connections between two requests", async (t) => {
  const listener = await openListener(t);
  const bytes = "GET /v1/request/w HTTP/1.1\r\nhost: x\r\n\r\n";
  const caller = callRaw(t, listener.address, bytes);
  await eventually(() => caller.text() !== "");
  await listener.server.close();
  await eventually(caller.closed);
  t.regex(caller.text(), /^HTTP\/1.1 200 /);
});

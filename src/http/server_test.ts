import test from "ava";
import { Buffer } from "node:buffer";
import { Agent, request } from "undici";
import { eventually } from "../adapters/_eventually_test.ts";
import { ManualClock } from "../clock.ts";
import type { Outcome } from "../types.ts";
import {
  done,
  exchangeRaw,
  openListener,
  openRawClient,
  requestHead,
} from "./_fixtures_test.ts";
import { MAX_BODY_BYTES } from "./bodies.ts";

const KIB = 1024;

const requestTargets = [
  { name: "unknown path", line: "GET /nothing", status: 404 },
  { name: "two slashes", line: "GET //", status: 404 },
  { name: "two slashes and an invalid host", line: "GET //[", status: 404 },
  { name: "invalid URL", line: "GET http://[", status: 400 },
  { name: "an asterisk", line: "OPTIONS *", status: 400 },
  { name: "invalid escape", line: "GET /v1/request/%zz", status: 404 },
  { name: "no workload", line: "GET /v1/request/", status: 404 },
  { name: "wrong method", line: "DELETE /healthz", status: 405 },
  { name: "unknown method", line: "BREW /healthz", status: 400 },
  { name: "found", line: "GET /healthz", status: 200 },
  { name: "absolute form", line: "GET http://h/healthz", status: 200 },
];

for (const { name, line, status } of requestTargets) {
  test(`status of a request target: ${name}`, async (t) => {
    const listener = await openListener(t, {
      routes: [{
        method: "GET",
        pattern: "/healthz",
        answer: ({ response }) => void response.end(),
      }],
    });
    const answer = await exchangeRaw(t, listener.address, requestHead(line));
    t.is(answer.split(" ")[1], String(status));
    t.is(listener.exchanges.length, 0);
  });
}

test("the answer to an unknown path has the outcome notRun", async (t) => {
  const { address } = await openListener(t);
  const answer = await exchangeRaw(t, address, requestHead("GET /nothing"));
  t.regex(answer, /zinniapoint-outcome: notRun\r\n/);
});

test("the answer to a wrong method lists the allowed ones", async (t) => {
  const answer = () => {};
  const { address } = await openListener(t, {
    routes: [
      { method: "GET", pattern: "/x", answer },
      { method: "POST", pattern: "/x", answer },
    ],
  });
  const refused = await exchangeRaw(t, address, requestHead("DELETE /x"));
  t.regex(refused, /allow: GET, POST\r\n/);
});

test("the answer of a failed route has the outcome unknown", async (t) => {
  const listener = await openListener(t, {
    handle: () => Promise.reject(new RangeError("broken")),
  });
  const answer = await exchangeRaw(
    t,
    listener.address,
    requestHead("GET /v1/request/w"),
  );
  t.regex(answer, /^HTTP\/1.1 500 /);
  t.regex(answer, /zinniapoint-outcome: unknown\r\n/);
  t.true(listener.log.has("http.failed", { message: "broken" }));
  t.is(listener.bodies.usedBytes, 0);
});

test("a failed route releases the memory of the body", async (t) => {
  const listener = await openListener(t, {
    handle: () => Promise.reject(new RangeError("broken")),
  });
  const bytes = requestHead("POST /v1/request/w", "content-length: 3") + "abc";
  await exchangeRaw(t, listener.address, bytes);
  t.is(listener.bodies.usedBytes, 0);
});

const malformedRequests = [
  { name: "not HTTP", bytes: "hello\r\n\r\n", status: 400 },
  {
    name: "two content lengths",
    bytes: requestHead(
      "POST /v1/request/w",
      "content-length: 1",
      "content-length: 2",
    ),
    status: 400,
  },
  {
    name: "content length and chunked encoding",
    bytes: requestHead(
      "POST /v1/request/w",
      "content-length: 1",
      "transfer-encoding: chunked",
    ),
    status: 400,
  },
  {
    name: "unknown transfer encoding",
    bytes: requestHead("POST /v1/request/w", "transfer-encoding: zip"),
    status: 400,
  },
  {
    name: "headers above the limit",
    bytes: requestHead("GET /v1/request/w", "x: " + "x".repeat(20 * KIB)),
    status: 431,
  },
];

for (const { name, bytes, status } of malformedRequests) {
  test(`a malformed request is rejected: ${name}`, async (t) => {
    const listener = await openListener(t);
    const answer = await exchangeRaw(t, listener.address, bytes);
    t.is(answer.split(" ")[1], String(status));
    t.is(listener.exchanges.length, 0);
  });
}

test("a request with a malformed chunk does not run", async (t) => {
  const listener = await openListener(t);
  const bytes = requestHead("POST /v1/request/w", "transfer-encoding: chunked");
  await exchangeRaw(t, listener.address, bytes + "zz\r\n");
  t.is(listener.exchanges.length, 0);
});

const oversize = [
  {
    name: "declared",
    header: `content-length: ${4 * MAX_BODY_BYTES}`,
    piece: "x".repeat(64 * KIB),
  },
  {
    name: "chunked",
    header: "transfer-encoding: chunked",
    piece: "10000\r\n" + "x".repeat(64 * KIB) + "\r\n",
  },
];

for (const { name, header, piece } of oversize) {
  test(`a request with a too large body gets a complete answer: ${name}`, async (t) => {
    const listener = await openListener(t);
    const bytes = requestHead("POST /v1/request/w", header);
    const caller = openRawClient(t, listener.address, bytes);
    for (let sent = 0; sent < 2 * MAX_BODY_BYTES; sent += 64 * KIB) {
      if (caller.closed()) break;
      caller.socket.write(piece);
    }
    await eventually(() => caller.text().endsWith("}\n"));
    t.is(caller.error(), undefined);
    t.regex(caller.text(), /^HTTP\/1.1 413 /);
    t.regex(caller.text(), /zinniapoint-outcome: notRun\r\n/);
    t.regex(caller.text(), /"type":"tooLarge","outcome":"notRun"/);
    t.is(listener.exchanges.length, 0);
    t.is(listener.bodies.usedBytes, 0);
  });
}

test("a connection whose too large body never ends is closed", async (t) => {
  const clock = new ManualClock();
  const listener = await openListener(t, { clock });
  const length = `content-length: ${4 * MAX_BODY_BYTES}`;
  const bytes = requestHead("POST /v1/request/w", length);
  const caller = openRawClient(t, listener.address, bytes + "x");
  await eventually(() => caller.text().endsWith("}\n"));
  await eventually(async () => {
    await clock.run(1_000, 100);
    return caller.closed();
  });
  t.pass();
});

test("a connection with slow headers is closed", async (t) => {
  const clock = new ManualClock();
  const listener = await openListener(t, { clock });
  const caller = openRawClient(t, listener.address, "GET / HTTP/1.1\r\n");
  await eventually(() => listener.server.connections === 1);
  clock.advance(20_000);
  await eventually(caller.closed);
  t.pass();
});

test("a connection without a request is closed", async (t) => {
  const clock = new ManualClock();
  const listener = await openListener(t, { clock });
  const caller = openRawClient(t, listener.address, "");
  await eventually(() => listener.server.connections === 1);
  clock.advance(20_000);
  await eventually(caller.closed);
  t.pass();
});

test("a connection with a slow body is closed", async (t) => {
  const clock = new ManualClock();
  const listener = await openListener(t, { clock });
  const bytes = requestHead("POST /v1/request/w", "content-length: 9") + "x";
  const caller = openRawClient(t, listener.address, bytes);
  await eventually(() => listener.bodies.usedBytes === 1);
  clock.advance(60_001);
  await eventually(caller.closed);
  await eventually(() => listener.bodies.usedBytes === 0);
  t.is(listener.exchanges.length, 0);
});

test("a request whose caller disconnects is abandoned", async (t) => {
  let finish = (_: Outcome) => {};
  const listener = await openListener(t, {
    handle: () => new Promise((resolve) => finish = resolve),
  });
  const caller = openRawClient(
    t,
    listener.address,
    requestHead("GET /v1/request/w"),
  );
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

test("a request whose caller disconnects while sending does not run", async (t) => {
  const listener = await openListener(t);
  const bytes = requestHead("POST /v1/request/w", "content-length: 9") + "x";
  const caller = openRawClient(t, listener.address, bytes);
  await eventually(() => listener.bodies.usedBytes === 1);
  caller.socket.resetAndDestroy();
  await eventually(() => listener.server.active === 0);
  t.is(listener.bodies.usedBytes, 0);
  t.is(listener.exchanges.length, 0);
});

test("an answered request is not abandoned", async (t) => {
  const listener = await openListener(t);
  await exchangeRaw(t, listener.address, requestHead("GET /v1/request/w"));
  t.deepEqual(listener.abandoned, []);
});

test("hop-by-hop headers and the key are not passed on", async (t) => {
  const listener = await openListener(t);
  await exchangeRaw(
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

test("a path with dot segments cannot leave the workload", async (t) => {
  const listener = await openListener(t);
  const line = "GET /v1/request/w/x/../../../../admin";
  const answer = await exchangeRaw(t, listener.address, requestHead(line));
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
    const bytes = requestHead("GET /v1/request/w", header);
    await exchangeRaw(t, listener.address, bytes);
    t.is(listener.exchanges[0]?.key, key);
  });
}

test("bodies are passed on and returned unchanged", async (t) => {
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
    const answer = await exchangeRaw(t, listener.address, requestHead(line));
    t.is(answer.split(" ")[1], String(status));
    t.notRegex(answer, /content-length/);
  });
}

test("unknown workload names do not become metric labels", async (t) => {
  const listener = await openListener(t);
  for (const workload of ["w", "x", "y"]) {
    const bytes = requestHead(`GET /v1/request/${workload}`);
    await exchangeRaw(t, listener.address, bytes);
  }
  const page = listener.metrics.render();
  t.regex(page, /requests_total\{workload="w",outcome="done"\} 1/);
  t.regex(page, /requests_total\{workload="",outcome="done"\} 2/);
  t.notRegex(page, /workload="x"/);
});

test("a shutdown answers requests in flight and closes their connections", async (t) => {
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

test("a shutdown closes connections without a request", async (t) => {
  const clock = new ManualClock();
  const listener = await openListener(t, { clock });
  const caller = openRawClient(t, listener.address, "");
  await eventually(() => listener.server.connections === 1);
  const closing = listener.server.close();
  clock.advance(1_001);
  await closing;
  await eventually(caller.closed);
  t.pass();
});

test("a shutdown answers a request whose headers are incomplete", async (t) => {
  const listener = await openListener(t, { clock: new ManualClock() });
  const caller = openRawClient(
    t,
    listener.address,
    "GET /v1/request/w HTTP/1.1\r\n",
  );
  await eventually(() => listener.server.connections === 1);
  const closing = listener.server.close();
  caller.socket.write("host: x\r\n\r\n");
  await closing;
  await eventually(caller.closed);
  t.regex(caller.text(), /^HTTP\/1.1 200 /);
});

test("a shutdown closes idle connections", async (t) => {
  const listener = await openListener(t);
  const bytes = "GET /v1/request/w HTTP/1.1\r\nhost: x\r\n\r\n";
  const caller = openRawClient(t, listener.address, bytes);
  await eventually(() => caller.text() !== "");
  await listener.server.close();
  await eventually(caller.closed);
  t.regex(caller.text(), /^HTTP\/1.1 200 /);
});

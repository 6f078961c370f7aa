import test, { type ExecutionContext } from "ava";
import { createServer, type ServerResponse } from "node:http";
import { LOOPBACK } from "../../testbed/loopback.ts";
import { eventually } from "../adapters/_eventually_test.ts";
import { freePort } from "../peers/_fixtures_test.ts";
import { openRawClient } from "./_fixtures_test.ts";
import { type ClosedReason, ConnectionLimiter } from "./connection_limits.ts";

const HEAD = "POST / HTTP/1.1\r\nhost: x\r\n";
const REQUEST = HEAD + "content-length: 0\r\n\r\n";

/** Starts a server that answers only when the test does. */
async function openServer(t: ExecutionContext, maxPipelined = 4) {
  const server = createServer();
  const closed: ClosedReason[] = [];
  const responses: ServerResponse[] = [];
  const limiter = new ConnectionLimiter(
    server,
    { maxConnections: 3, maxPipelined },
    (reason) => closed.push(reason),
  );
  server.on("request", (request, response) => {
    request.resume();
    responses.push(response);
  });
  const port = await freePort();
  await new Promise<void>((resolve) => server.listen(port, LOOPBACK, resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const connect = async (bytes: string) => {
    const before = limiter.open;
    const client = openRawClient(t, `${LOOPBACK}:${port}`, bytes);
    await eventually(() => limiter.open > before || closed.length > 0);
    return client;
  };
  return { limiter, closed, responses, connect };
}

// Guards against clients that stay connected and keep others out.
test("the connection that is idle or unfinished for the longest gives way to a new one", async (t) => {
  const { limiter, closed, responses, connect } = await openServer(t);
  const busy = await connect(REQUEST);
  await eventually(() => responses.length === 1);
  const unfinished = await connect(HEAD);
  const idle = await connect("");
  await connect("");
  await eventually(unfinished.closed);
  t.deepEqual([busy.closed(), idle.closed()], [false, false]);
  t.deepEqual(closed, ["crowded"]);
  t.is(limiter.open, 3);
});

test("a connection becomes the youngest one when its request is answered", async (t) => {
  const { responses, connect } = await openServer(t);
  const first = await connect(REQUEST);
  const second = await connect("");
  await connect("");
  await eventually(() => responses.length === 1);
  responses[0]!.end();
  await eventually(() => first.text() !== "");
  await connect("");
  await eventually(second.closed);
  t.false(first.closed());
});

test("a new connection is closed while all others are busy", async (t) => {
  const { responses, connect } = await openServer(t);
  const busy = [];
  for (let index = 1; index <= 3; index++) {
    busy.push(await connect(REQUEST));
    await eventually(() => responses.length === index);
  }
  const further = await connect(REQUEST);
  await eventually(further.closed);
  t.deepEqual(busy.map(({ closed }) => closed()), [false, false, false]);
});

test("a request whose body has not ended does not keep its connection", async (t) => {
  const { responses, connect } = await openServer(t);
  const first = await connect(HEAD + "content-length: 9\r\n\r\nx");
  await eventually(() => responses.length === 1);
  for (let index = 0; index < 3; index++) await connect("");
  await eventually(first.closed);
  t.pass();
});

// Guards against requests that are read faster than they are answered.
test("a connection with too many requests in progress is closed", async (t) => {
  const { closed, responses, connect } = await openServer(t, 4);
  const client = await connect(REQUEST.repeat(4));
  await eventually(() => responses.length === 4);
  t.false(client.closed());
  client.socket.write(REQUEST);
  await eventually(client.closed);
  t.deepEqual(closed, ["pipelined"]);
});

import test, { type ExecutionContext } from "ava";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import * as t_ from "io-ts";
import { eventually } from "../adapters/_eventually_test.ts";
import { ManualClock } from "../clock.ts";
import { PausedClock } from "../fakes/paused_clock.ts";
import {
  acceptHandshake,
  connectRaw,
  echoCall,
  helloLine,
  instanceAt,
  LONG_TIMEOUT_MS,
  startPeer,
  startRawListener,
  type TestPeer,
} from "./_fixtures_test.ts";
import { PROTOCOL_VERSION } from "./handshake.ts";
import { SILENCE_TIMEOUT_MS } from "./outbound_connection.ts";

const WRITE_INTERVAL_MS = 100;

function serveEcho({ peers }: TestPeer): void {
  peers.serve(echoCall, (params) => params);
}

async function connect(
  from: TestPeer,
  to: { readonly instance: TestPeer["instance"] },
) {
  from.peers.setMembers([to.instance]);
  await eventually(() => from.peers.connected(to.instance.id));
}

function echo(
  from: TestPeer,
  to: string,
  text = "x",
  timeoutMs = LONG_TIMEOUT_MS,
) {
  return from.peers.call(to, echoCall, { params: { text }, timeoutMs });
}

async function connectedPair(
  t: ExecutionContext,
): Promise<[TestPeer, TestPeer]> {
  const a = await startPeer(t, { id: "a" });
  const b = await startPeer(t, { id: "b" });
  serveEcho(b);
  await connect(a, b);
  return [a, b];
}

test("a call returns the result of the handler", async (t) => {
  const [a] = await connectedPair(t);
  t.deepEqual((await echo(a, "b", "héllo\n"))._unsafeUnwrap(), {
    text: "héllo\n",
  });
});

test("a handler receives the id of the caller", async (t) => {
  const a = await startPeer(t, { id: "a" });
  const b = await startPeer(t, { id: "b" });
  b.peers.serve(echoCall, (_, from) => ({ text: from }));
  await connect(a, b);
  t.deepEqual((await echo(a, "b"))._unsafeUnwrap(), { text: "a" });
});

test("responses out of order reach the right calls", async (t) => {
  const a = await startPeer(t, { id: "a" });
  const b = await startPeer(t, { id: "b" });
  const pending: (() => void)[] = [];
  b.peers.serve(
    echoCall,
    (params) => new Promise((resolve) => pending.push(() => resolve(params))),
  );
  await connect(a, b);
  const calls = ["1", "2", "3"].map((text) => echo(a, "b", text));
  await eventually(() => pending.length === 3);
  for (const answer of pending.reverse()) answer();
  const texts = (await Promise.all(calls)).map((answer) =>
    answer._unsafeUnwrap().text
  );
  t.deepEqual(texts, ["1", "2", "3"]);
});

test("a response after the timeout does not resolve another call", async (t) => {
  const a = await startPeer(t, { id: "a" });
  const b = await startPeer(t, { id: "b" });
  let release = () => {};
  b.peers.serve(echoCall, (params) => {
    if (params.text !== "late") return params;
    return new Promise((resolve) => release = () => resolve(params));
  });
  await connect(a, b);
  const late = await echo(a, "b", "late", 50);
  t.is(late._unsafeUnwrapErr().type, "peerSilent");
  const next = echo(a, "b", "next");
  release();
  t.is((await next)._unsafeUnwrap().text, "next");
  t.is((await echo(a, "b", "last"))._unsafeUnwrap().text, "last");
});

const failedCalls = [
  {
    name: "unknown method",
    call: { ...echoCall, method: "nothing" },
    code: -32601,
  },
  {
    name: "params that do not match",
    call: { ...echoCall, params: t_.any as typeof echoCall.params },
    code: -32602,
  },
  {
    name: "result that does not match",
    call: { ...echoCall, result: t_.type({ text: t_.number }) },
    params: { text: "x" },
    code: -32603,
  },
];

for (const { name, call, params, code } of failedCalls) {
  test(`a call fails with an error code: ${name}`, async (t) => {
    const [a] = await connectedPair(t);
    const given = {
      params: (params ?? { no: 1 }) as never,
      timeoutMs: LONG_TIMEOUT_MS,
    };
    const failure = (await a.peers.call("b", call as typeof echoCall, given))
      ._unsafeUnwrapErr();
    t.like(failure, { type: "peerRefused", code });
    t.true((await echo(a, "b")).isOk());
  });
}

test("a handler that throws fails only that call", async (t) => {
  const a = await startPeer(t, { id: "a" });
  const b = await startPeer(t, { id: "b" });
  b.peers.serve(echoCall, (params) => {
    if (params.text === "bad") throw new RangeError("no such thing");
    return params;
  });
  await connect(a, b);
  t.is((await echo(a, "b", "bad"))._unsafeUnwrapErr().type, "peerRefused");
  t.true((await echo(a, "b", "good")).isOk());
});

const rejectedClients = [
  {
    name: "wrong key",
    hello: { from: "a", to: "b", key: "?" },
    reason: "proof",
  },
  {
    name: "other version",
    hello: { from: "a", to: "b", version: PROTOCOL_VERSION + 1 },
    reason: "version",
  },
  {
    name: "hello for an earlier process at this address",
    hello: { from: "a", to: "b-old" },
    reason: "identity",
  },
];

for (const { name, hello, reason } of rejectedClients) {
  test(`a client is rejected: ${name}`, async (t) => {
    const b = await startPeer(t, { id: "b" });
    const client = connectRaw(t, b.instance.peerAddress);
    await eventually(() => client.lines.length === 1);
    client.socket.write(helloLine(client.lines[0]!, hello));
    await eventually(client.closed);
    t.is(client.lines.length, 1);
    t.true(b.log.has("peer.rejected", { reason }));
  });
}

const malformedHellos = [
  { name: "not JSON", text: "hello\n" },
  { name: "a number", text: "7\n" },
  { name: "another shape", text: '{"version":1}\n' },
  { name: "a call before authentication", text: '{"jsonrpc":"2.0","id":1}\n' },
];

for (const { name, text } of malformedHellos) {
  test(`a malformed hello closes the connection: ${name}`, async (t) => {
    const b = await startPeer(t, { id: "b" });
    const client = connectRaw(t, b.instance.peerAddress);
    client.socket.write(text);
    await eventually(client.closed);
    t.is(client.lines.length, 1);
  });
}

test("a malformed line after the handshake closes the connection", async (t) => {
  const b = await startPeer(t, { id: "b" });
  const client = connectRaw(t, b.instance.peerAddress);
  await eventually(() => client.lines.length === 1);
  const hello = helloLine(client.lines[0]!, { from: "a", to: "b" });
  client.socket.write(hello);
  await eventually(() => client.lines.length === 2);
  client.socket.write("{nothing\n");
  await eventually(client.closed);
  t.pass();
});

test("a message that is not a request gets an error response", async (t) => {
  const b = await startPeer(t, { id: "b" });
  const client = connectRaw(t, b.instance.peerAddress);
  await eventually(() => client.lines.length === 1);
  const hello = helloLine(client.lines[0]!, { from: "a", to: "b" });
  client.socket.write(hello + '{"method":7}\n');
  await eventually(() => client.lines.length === 3);
  t.like(JSON.parse(client.lines[2]!), { error: { code: -32600 } });
});

test("a long line before the handshake closes the connection", async (t) => {
  const clock = new ManualClock();
  const b = await startPeer(t, { id: "b", clock });
  const client = connectRaw(t, b.instance.peerAddress);
  writeRepeatedly(t, client.socket, "x".repeat(32 * 1024));
  await eventually(client.closed);
  t.pass();
});

test("a client that sends bytes without completing the handshake is disconnected", async (t) => {
  const clock = new ManualClock();
  const b = await startPeer(t, { id: "b", clock });
  const client = connectRaw(t, b.instance.peerAddress);
  await eventually(() => client.lines.length === 1);
  writeRepeatedly(t, client.socket, "x");
  clock.advance(2_001);
  await eventually(client.closed);
  t.pass();
});

/** Writes a chunk repeatedly until the test ends. */
function writeRepeatedly(
  t: ExecutionContext,
  socket: Socket,
  chunk: string,
): void {
  const timer = setInterval(() => {
    if (!socket.destroyed) socket.write(chunk);
  }, WRITE_INTERVAL_MS);
  t.teardown(() => clearInterval(timer));
}

const rejectedListeners = [
  { name: "wrong key", proof: "00", id: "b" },
  { name: "another identity", proof: undefined, id: "c" },
];

for (const { name, proof, id } of rejectedListeners) {
  test(`a listener is rejected: ${name}`, async (t) => {
    const a = await startPeer(t, { id: "a" });
    const listener = await startRawListener(t, (socket) => {
      if (proof === undefined) return acceptHandshake(socket, id, () => {});
      socket.write(
        JSON.stringify({ version: PROTOCOL_VERSION, challenge: "00" }) + "\n",
      );
      socket.once("data", () => {
        socket.write(JSON.stringify({ id, proof }) + "\n");
      });
    });
    a.peers.setMembers([instanceAt("b", listener.address)]);
    await eventually(() => a.log.has("peer.refused", { peer: "b" }));
    t.false(a.peers.connected("b"));
    t.is((await echo(a, "b"))._unsafeUnwrapErr().type, "peerUnreached");
  });
}

test("a listener with another protocol version is rejected", async (t) => {
  const a = await startPeer(t, { id: "a" });
  const listener = await startRawListener(t, (socket) => {
    const version = PROTOCOL_VERSION + 1;
    socket.write(JSON.stringify({ version, challenge: "00" }) + "\n");
  });
  a.peers.setMembers([instanceAt("b", listener.address)]);
  await eventually(() =>
    a.log.has("peer.version", { version: PROTOCOL_VERSION + 1 })
  );
  t.is((await echo(a, "b"))._unsafeUnwrapErr().type, "peerUnreached");
});

test("a call to an unknown peer fails as unreached", async (t) => {
  const a = await startPeer(t, { id: "a" });
  t.is((await echo(a, "b"))._unsafeUnwrapErr().type, "peerUnreached");
});

test("a call to a port without a listener fails as unreached", async (t) => {
  const a = await startPeer(t, { id: "a" });
  a.peers.setMembers([instanceAt("b", "127.0.0.1:1")]);
  t.is((await echo(a, "b"))._unsafeUnwrapErr().type, "peerUnreached");
});

test("a call fails at its timeout if the handshake does not complete", async (t) => {
  const clock = new ManualClock();
  const a = await startPeer(t, { id: "a", clock });
  const listener = await startRawListener(t, () => {});
  a.peers.setMembers([instanceAt("b", listener.address)]);
  const answer = echo(a, "b", "x", 100);
  await eventually(() => listener.sockets.length === 1);
  clock.advance(101);
  t.is((await answer)._unsafeUnwrapErr().type, "peerUnreached");
});

/** Ways in which a connection with calls in flight can fail. */
const disconnections: {
  readonly name: string;
  readonly disconnect: (
    socket: Socket,
    clock: ManualClock,
  ) => Promise<void> | void;
}[] = [
  { name: "reset", disconnect: (socket) => void socket.resetAndDestroy() },
  { name: "half-closed", disconnect: (socket) => void socket.end() },
  { name: "malformed", disconnect: (socket) => void socket.write("{\n") },
  {
    name: "silent",
    disconnect: (_, clock) => clock.run(2 * SILENCE_TIMEOUT_MS, 100),
  },
];

for (const { name, disconnect } of disconnections) {
  test(`a failed connection fails its calls as silent and reconnects: ${name}`, async (t) => {
    const clock = new ManualClock();
    const a = await startPeer(t, { id: "a", clock });
    const disconnected: string[] = [];
    let received = 0;
    a.peers.onDisconnect((peer) => disconnected.push(peer));
    const listener = await startRawListener(
      t,
      (socket) =>
        acceptHandshake(socket, "b", (message) => {
          if ("method" in message) received++;
        }),
      { allowHalfOpen: true },
    );
    a.peers.setMembers([instanceAt("b", listener.address)]);
    await eventually(() => a.peers.connected("b"));
    const answers = [echo(a, "b", "1"), echo(a, "b", "2")];
    await eventually(() => received === 2);
    await disconnect(listener.sockets[0]!, clock);
    for (const answer of answers) {
      t.is((await answer)._unsafeUnwrapErr().type, "peerSilent");
    }
    t.deepEqual(disconnected, ["b"]);
    await eventually(async () => {
      await clock.run(250, 50);
      return a.peers.connected("b");
    });
    t.true(listener.sockets.length > 1);
  });
}

test("a pause of this process does not make a peer look silent", async (t) => {
  const time = new ManualClock();
  const clock = new PausedClock(time);
  const a = await startPeer(t, { id: "a", clock });
  const b = await startPeer(t, { id: "b" });
  serveEcho(b);
  await connect(a, b);
  const disconnected: string[] = [];
  a.peers.onDisconnect((peer) => disconnected.push(peer));
  clock.pause();
  time.advance(10 * SILENCE_TIMEOUT_MS);
  clock.resume();
  await eventually(async () => (await echo(a, "b")).isOk());
  t.deepEqual(disconnected, []);
});

test("reconnects to a restarted peer", async (t) => {
  const a = await startPeer(t, { id: "a" });
  const b = await startPeer(t, { id: "b" });
  const port = Number(b.instance.peerAddress.split(":")[1]);
  await connect(a, b);
  b.peers.close();
  await eventually(() => !a.peers.connected("b"));
  serveEcho(await startPeer(t, { id: "b", port }));
  await eventually(() => a.peers.connected("b"));
  t.true((await echo(a, "b")).isOk());
});

test("a restarted instance is reached under its new id only", async (t) => {
  const a = await startPeer(t, { id: "a" });
  const old = await startPeer(t, { id: "b-1" });
  const port = Number(old.instance.peerAddress.split(":")[1]);
  await connect(a, old);
  old.peers.close();
  await eventually(() => !a.peers.connected("b-1"));
  const restarted = await startPeer(t, { id: "b-2", port });
  serveEcho(restarted);
  a.peers.setMembers([old.instance, restarted.instance]);
  await eventually(() => a.peers.connected("b-2"));
  t.true((await echo(a, "b-2")).isOk());
  await eventually(() =>
    restarted.log.has("peer.rejected", { reason: "identity" })
  );
  t.false(a.peers.connected("b-1"));
  t.is((await echo(a, "b-1"))._unsafeUnwrapErr().type, "peerUnreached");
});

test("a call in flight to a removed member still gets its response", async (t) => {
  const a = await startPeer(t, { id: "a" });
  const b = await startPeer(t, { id: "b" });
  let release = () => {};
  let called = false;
  b.peers.serve(echoCall, (params) => {
    called = true;
    return new Promise((resolve) => release = () => resolve(params));
  });
  await connect(a, b);
  const answer = echo(a, "b");
  await eventually(() => called);
  a.peers.setMembers([]);
  t.is((await echo(a, "b"))._unsafeUnwrapErr().type, "peerUnreached");
  release();
  t.true((await answer).isOk());
});

test("a peer that does not read its responses is disconnected", async (t) => {
  const b = await startPeer(t, { id: "b" });
  b.peers.serve(echoCall, () => ({ text: "x".repeat(8 * 1024 * 1024) }));
  const client = connectRaw(t, b.instance.peerAddress);
  await eventually(() => client.lines.length === 1);
  const hello = helloLine(client.lines[0]!, { from: "a", to: "b" });
  client.socket.write(hello);
  await eventually(() => client.lines.length === 2);
  client.socket.pause();
  const params = { text: "x" };
  const calls = Array.from(
    { length: 16 },
    (_, id) => JSON.stringify({ jsonrpc: "2.0", method: "echo", params, id }),
  );
  client.socket.write(calls.join("\n") + "\n");
  await delay(200);
  client.socket.resume();
  await eventually(client.closed);
  t.true(client.lines.length < 2 + calls.length);
});

test("a notification reaches its listener, also after a malformed one", async (t) => {
  const [a, b] = await connectedPair(t);
  const heard: string[] = [];
  const notice = { method: "told", params: t_.type({ text: t_.string }) };
  b.peers.onNotification(notice, ({ text }, from) => {
    heard.push(`${from}:${text}`);
  });
  a.peers.notify("b", { ...notice, params: t_.any }, { text: 7 });
  a.peers.notify("b", notice, { text: "x" });
  await eventually(() => heard.length > 0);
  t.deepEqual(heard, ["a:x"]);
});

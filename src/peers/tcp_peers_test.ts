import test, { type ExecutionContext } from "ava";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import * as t_ from "io-ts";
import { eventually } from "../adapters/_eventually_test.ts";
import { ManualClock } from "../clock.ts";
import { PausedClock } from "../fakes/paused_clock.ts";
import {
  dialRaw,
  echoCall,
  type End,
  greet,
  helloLine,
  instanceAt,
  LONG_MS,
  openEnd,
  openRaw,
} from "./_fixtures_test.ts";
import { PROTOCOL_VERSION } from "./handshake.ts";
import { SILENCE_MS } from "./outbound.ts";

const DRIP_MS = 100;

function serveEcho({ peers }: End): void {
  peers.serve(echoCall, (params) => params);
}

async function link(from: End, to: { readonly instance: End["instance"] }) {
  from.peers.setMembers([to.instance]);
  await eventually(() => from.peers.linked(to.instance.id));
}

function echo(from: End, to: string, text = "x", timeoutMs = LONG_MS) {
  return from.peers.call(to, echoCall, { params: { text }, timeoutMs });
}

async function pair(t: ExecutionContext): Promise<[End, End]> {
  const a = await openEnd(t, { id: "a" });
  const b = await openEnd(t, { id: "b" });
  serveEcho(b);
  await link(a, b);
  return [a, b];
}

test("a call is answered", async (t) => {
  const [a] = await pair(t);
  t.deepEqual((await echo(a, "b", "héllo\n"))._unsafeUnwrap(), {
    text: "héllo\n",
  });
});

test("a handler learns who calls", async (t) => {
  const a = await openEnd(t, { id: "a" });
  const b = await openEnd(t, { id: "b" });
  b.peers.serve(echoCall, (_, from) => ({ text: from }));
  await link(a, b);
  t.deepEqual((await echo(a, "b"))._unsafeUnwrap(), { text: "a" });
});

test("answers in another order reach their callers", async (t) => {
  const a = await openEnd(t, { id: "a" });
  const b = await openEnd(t, { id: "b" });
  const held: (() => void)[] = [];
  b.peers.serve(
    echoCall,
    (params) => new Promise((resolve) => held.push(() => resolve(params))),
  );
  await link(a, b);
  const calls = ["1", "2", "3"].map((text) => echo(a, "b", text));
  await eventually(() => held.length === 3);
  for (const answer of held.reverse()) answer();
  const texts = (await Promise.all(calls)).map((answer) =>
    answer._unsafeUnwrap().text
  );
  t.deepEqual(texts, ["1", "2", "3"]);
});

test("a late answer reaches no other call", async (t) => {
  const a = await openEnd(t, { id: "a" });
  const b = await openEnd(t, { id: "b" });
  let release = () => {};
  b.peers.serve(echoCall, (params) => {
    if (params.text !== "late") return params;
    return new Promise((resolve) => release = () => resolve(params));
  });
  await link(a, b);
  const late = await echo(a, "b", "late", 50);
  t.is(late._unsafeUnwrapErr().type, "peerSilent");
  const next = echo(a, "b", "next");
  release();
  t.is((await next)._unsafeUnwrap().text, "next");
  t.is((await echo(a, "b", "last"))._unsafeUnwrap().text, "last");
});

const refusals = [
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
    name: "an answer that does not match",
    call: { ...echoCall, result: t_.type({ text: t_.number }) },
    params: { text: "x" },
    code: -32603,
  },
];

for (const { name, call, params, code } of refusals) {
  test(`a refused call: ${name}`, async (t) => {
    const [a] = await pair(t);
    const given = {
      params: (params ?? { no: 1 }) as never,
      timeoutMs: LONG_MS,
    };
    const failure = (await a.peers.call("b", call as typeof echoCall, given))
      ._unsafeUnwrapErr();
    t.like(failure, { type: "peerRefused", code });
    t.true((await echo(a, "b")).isOk());
  });
}

test("a handler that throws refuses one call", async (t) => {
  const a = await openEnd(t, { id: "a" });
  const b = await openEnd(t, { id: "b" });
  b.peers.serve(echoCall, (params) => {
    if (params.text === "bad") throw new RangeError("no such thing");
    return params;
  });
  await link(a, b);
  t.is((await echo(a, "b", "bad"))._unsafeUnwrapErr().type, "peerRefused");
  t.true((await echo(a, "b", "good")).isOk());
});

const strangers = [
  { name: "wrong key", hello: { from: "a", to: "b", key: "?" }, why: "proof" },
  {
    name: "other version",
    hello: { from: "a", to: "b", version: PROTOCOL_VERSION + 1 },
    why: "version",
  },
  {
    name: "a replaced incarnation",
    hello: { from: "a", to: "b-old" },
    why: "identity",
  },
];

for (const { name, hello, why } of strangers) {
  test(`a dialler is turned away: ${name}`, async (t) => {
    const b = await openEnd(t, { id: "b" });
    const stranger = dialRaw(t, b.instance.peerAddress);
    await eventually(() => stranger.lines.length === 1);
    stranger.socket.write(helloLine(stranger.lines[0]!, hello));
    await eventually(stranger.closed);
    t.is(stranger.lines.length, 1);
    t.true(b.log.has("peer.rejected", { reason: why }));
  });
}

const garbage = [
  { name: "no JSON", text: "hello\n" },
  { name: "a number", text: "7\n" },
  { name: "another shape", text: '{"version":1}\n' },
  { name: "a call before the proof", text: '{"jsonrpc":"2.0","id":1}\n' },
];

for (const { name, text } of garbage) {
  test(`a malformed greeting ends the link: ${name}`, async (t) => {
    const b = await openEnd(t, { id: "b" });
    const stranger = dialRaw(t, b.instance.peerAddress);
    stranger.socket.write(text);
    await eventually(stranger.closed);
    t.is(stranger.lines.length, 1);
  });
}

test("a malformed line after the greeting ends the link", async (t) => {
  const b = await openEnd(t, { id: "b" });
  const dialler = dialRaw(t, b.instance.peerAddress);
  await eventually(() => dialler.lines.length === 1);
  const hello = helloLine(dialler.lines[0]!, { from: "a", to: "b" });
  dialler.socket.write(hello);
  await eventually(() => dialler.lines.length === 2);
  dialler.socket.write("{nothing\n");
  await eventually(dialler.closed);
  t.pass();
});

test("a message that is no call is answered as such", async (t) => {
  const b = await openEnd(t, { id: "b" });
  const dialler = dialRaw(t, b.instance.peerAddress);
  await eventually(() => dialler.lines.length === 1);
  const hello = helloLine(dialler.lines[0]!, { from: "a", to: "b" });
  dialler.socket.write(hello + '{"method":7}\n');
  await eventually(() => dialler.lines.length === 3);
  t.like(JSON.parse(dialler.lines[2]!), { error: { code: -32600 } });
});

test("a stranger cannot make an instance hold a long line", async (t) => {
  const clock = new ManualClock();
  const b = await openEnd(t, { id: "b", clock });
  const stranger = dialRaw(t, b.instance.peerAddress);
  drip(t, stranger.socket, "x".repeat(32 * 1024));
  await eventually(stranger.closed);
  t.pass();
});

test("a stranger that drips bytes is cut off", async (t) => {
  const clock = new ManualClock();
  const b = await openEnd(t, { id: "b", clock });
  const stranger = dialRaw(t, b.instance.peerAddress);
  await eventually(() => stranger.lines.length === 1);
  drip(t, stranger.socket, "x");
  clock.advance(2_001);
  await eventually(stranger.closed);
  t.pass();
});

/** Writes a piece now and then. */
function drip(t: ExecutionContext, socket: Socket, piece: string): void {
  const timer = setInterval(() => {
    if (!socket.destroyed) socket.write(piece);
  }, DRIP_MS);
  t.teardown(() => clearInterval(timer));
}

const impostors = [
  { name: "wrong key", proof: "00", id: "b" },
  { name: "another identity", proof: undefined, id: "c" },
];

for (const { name, proof, id } of impostors) {
  test(`a listener is turned away: ${name}`, async (t) => {
    const a = await openEnd(t, { id: "a" });
    const raw = await openRaw(t, (socket) => {
      if (proof === undefined) return greet(socket, id, () => {});
      socket.write(
        JSON.stringify({ version: PROTOCOL_VERSION, challenge: "00" }) + "\n",
      );
      socket.once("data", () => {
        socket.write(JSON.stringify({ id, proof }) + "\n");
      });
    });
    a.peers.setMembers([instanceAt("b", raw.address)]);
    await eventually(() => a.log.has("peer.refused", { peer: "b" }));
    t.false(a.peers.linked("b"));
    t.is((await echo(a, "b"))._unsafeUnwrapErr().type, "peerUnreached");
  });
}

test("a listener of another version is turned away", async (t) => {
  const a = await openEnd(t, { id: "a" });
  const raw = await openRaw(t, (socket) => {
    const version = PROTOCOL_VERSION + 1;
    socket.write(JSON.stringify({ version, challenge: "00" }) + "\n");
  });
  a.peers.setMembers([instanceAt("b", raw.address)]);
  await eventually(() =>
    a.log.has("peer.version", { version: PROTOCOL_VERSION + 1 })
  );
  t.is((await echo(a, "b"))._unsafeUnwrapErr().type, "peerUnreached");
});

test("a call to a peer that is not known was never sent", async (t) => {
  const a = await openEnd(t, { id: "a" });
  t.is((await echo(a, "b"))._unsafeUnwrapErr().type, "peerUnreached");
});

test("a call to a port without listener was never sent", async (t) => {
  const a = await openEnd(t, { id: "a" });
  a.peers.setMembers([instanceAt("b", "127.0.0.1:1")]);
  t.is((await echo(a, "b"))._unsafeUnwrapErr().type, "peerUnreached");
});

test("a call to a link that never opens ends with its own timeout", async (t) => {
  const clock = new ManualClock();
  const a = await openEnd(t, { id: "a", clock });
  const raw = await openRaw(t, () => {});
  a.peers.setMembers([instanceAt("b", raw.address)]);
  const answer = echo(a, "b", "x", 100);
  await eventually(() => raw.sockets.length === 1);
  clock.advance(101);
  t.is((await answer)._unsafeUnwrapErr().type, "peerUnreached");
});

/** Ways in which a peer with calls in flight goes. */
const losses: {
  readonly name: string;
  readonly lose: (socket: Socket, clock: ManualClock) => Promise<void> | void;
}[] = [
  { name: "reset", lose: (socket) => void socket.resetAndDestroy() },
  { name: "half-closed", lose: (socket) => void socket.end() },
  { name: "malformed", lose: (socket) => void socket.write("{\n") },
  {
    name: "silent",
    lose: (_, clock) => clock.run(2 * SILENCE_MS, 100),
  },
];

for (const { name, lose } of losses) {
  test(`a lost link fails its calls as silent: ${name}`, async (t) => {
    const clock = new ManualClock();
    const a = await openEnd(t, { id: "a", clock });
    const lost: string[] = [];
    let received = 0;
    a.peers.onLost((peer) => lost.push(peer));
    const raw = await openRaw(
      t,
      (socket) =>
        greet(socket, "b", (message) => {
          if ("method" in message) received++;
        }),
      { allowHalfOpen: true },
    );
    a.peers.setMembers([instanceAt("b", raw.address)]);
    await eventually(() => a.peers.linked("b"));
    const answers = [echo(a, "b", "1"), echo(a, "b", "2")];
    await eventually(() => received === 2);
    await lose(raw.sockets[0]!, clock);
    for (const answer of answers) {
      t.is((await answer)._unsafeUnwrapErr().type, "peerSilent");
    }
    t.deepEqual(lost, ["b"]);
    await eventually(async () => {
      await clock.run(250, 50);
      return a.peers.linked("b");
    });
    t.true(raw.sockets.length > 1);
  });
}

test("a pause of this process does not make a peer look silent", async (t) => {
  const time = new ManualClock();
  const clock = new PausedClock(time);
  const a = await openEnd(t, { id: "a", clock });
  const b = await openEnd(t, { id: "b" });
  serveEcho(b);
  await link(a, b);
  const lost: string[] = [];
  a.peers.onLost((peer) => lost.push(peer));
  clock.pause();
  time.advance(10 * SILENCE_MS);
  clock.resume();
  await eventually(async () => (await echo(a, "b")).isOk());
  t.deepEqual(lost, []);
});

test("a restarted peer is dialled again", async (t) => {
  const a = await openEnd(t, { id: "a" });
  const b = await openEnd(t, { id: "b" });
  const port = Number(b.instance.peerAddress.split(":")[1]);
  await link(a, b);
  b.peers.close();
  await eventually(() => !a.peers.linked("b"));
  serveEcho(await openEnd(t, { id: "b", port }));
  await eventually(() => a.peers.linked("b"));
  t.true((await echo(a, "b")).isOk());
});

test("a link to a replaced incarnation stays down, the new one's comes up", async (t) => {
  const a = await openEnd(t, { id: "a" });
  const old = await openEnd(t, { id: "b-1" });
  const port = Number(old.instance.peerAddress.split(":")[1]);
  await link(a, old);
  old.peers.close();
  await eventually(() => !a.peers.linked("b-1"));
  const fresh = await openEnd(t, { id: "b-2", port });
  serveEcho(fresh);
  a.peers.setMembers([old.instance, fresh.instance]);
  await eventually(() => a.peers.linked("b-2"));
  t.true((await echo(a, "b-2")).isOk());
  await eventually(() =>
    fresh.log.has("peer.rejected", { reason: "identity" })
  );
  t.false(a.peers.linked("b-1"));
  t.is((await echo(a, "b-1"))._unsafeUnwrapErr().type, "peerUnreached");
});

test("a peer that leaves answers the calls in flight", async (t) => {
  const a = await openEnd(t, { id: "a" });
  const b = await openEnd(t, { id: "b" });
  let release = () => {};
  let called = false;
  b.peers.serve(echoCall, (params) => {
    called = true;
    return new Promise((resolve) => release = () => resolve(params));
  });
  await link(a, b);
  const answer = echo(a, "b");
  await eventually(() => called);
  a.peers.setMembers([]);
  t.is((await echo(a, "b"))._unsafeUnwrapErr().type, "peerUnreached");
  release();
  t.true((await answer).isOk());
});

test("a peer that stops reading is cut off", async (t) => {
  const b = await openEnd(t, { id: "b" });
  b.peers.serve(echoCall, () => ({ text: "x".repeat(8 * 1024 * 1024) }));
  const dialler = dialRaw(t, b.instance.peerAddress);
  await eventually(() => dialler.lines.length === 1);
  const hello = helloLine(dialler.lines[0]!, { from: "a", to: "b" });
  dialler.socket.write(hello);
  await eventually(() => dialler.lines.length === 2);
  dialler.socket.pause();
  const params = { text: "x" };
  const calls = Array.from(
    { length: 16 },
    (_, id) => JSON.stringify({ jsonrpc: "2.0", method: "echo", params, id }),
  );
  dialler.socket.write(calls.join("\n") + "\n");
  await delay(200);
  dialler.socket.resume();
  await eventually(dialler.closed);
  t.true(dialler.lines.length < 2 + calls.length);
});

test("a notice reaches its listener, also after one that does not match", async (t) => {
  const [a, b] = await pair(t);
  const heard: string[] = [];
  const notice = { method: "told", params: t_.type({ text: t_.string }) };
  b.peers.listen(notice, ({ text }, from) => {
    heard.push(`${from}:${text}`);
  });
  a.peers.notify("b", { ...notice, params: t_.any }, { text: 7 });
  a.peers.notify("b", notice, { text: "x" });
  await eventually(() => heard.length > 0);
  t.deepEqual(heard, ["a:x"]);
});

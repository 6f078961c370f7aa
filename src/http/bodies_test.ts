import test from "ava";
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { setImmediate } from "node:timers/promises";
import { ManualClock } from "../clock.ts";
import { type Body, BodyMemory } from "./bodies.ts";

/** A request whose body the test sends piece by piece. */
function openMessage(headers: Record<string, string> = {}) {
  let closed = false;
  const socket = { destroy: () => closed = true };
  const stream = Object.assign(new Readable({ read() {} }), {
    headers,
    socket,
    complete: false,
  });
  return {
    message: stream as unknown as IncomingMessage,
    send: (text: string) => stream.push(Buffer.from(text)),
    end: () => stream.push(null),
    leave: () => stream.destroy(),
    closed: () => closed,
  };
}

function openMemory(maxTotalBytes: number, maxBodyBytes = 100) {
  const clock = new ManualClock();
  const memory = new BodyMemory({
    clock,
    maxBodyBytes: () => maxBodyBytes,
    maxTotalBytes,
  });
  return { clock, memory };
}

/** Resolves to the text of a body, or to the type of its failure. */
async function outcome(reading: ReturnType<BodyMemory["read"]>) {
  const result = await reading;
  return result.isOk() ? result.value.bytes.toString() : result.error.type;
}

test("a body in many chunks takes at most twice its size and is freed once", async (t) => {
  const { memory } = openMemory(1_000, 90);
  const { message, send, end } = openMessage();
  const reading = memory.read(message);
  for (let index = 0; index < 65; index++) send(String(index % 10));
  await setImmediate();
  t.true(memory.usedBytes >= 65 && memory.usedBytes <= 90);
  end();
  const body: Body = (await reading)._unsafeUnwrap();
  t.is(body.bytes.toString(), "0123456789".repeat(6) + "01234");
  body.free();
  body.free();
  t.is(memory.usedBytes, 0);
});

// Guards against clients that stop short of the end of their bodies and keep
// those of others out.
test("the oldest unfinished body gives way to a new one", async (t) => {
  const { memory } = openMemory(100);
  const crowd = Array.from({ length: 5 }, () => openMessage());
  const readings = crowd.map(({ message }) => memory.read(message));
  for (const { send } of crowd) {
    send("x".repeat(30));
    await setImmediate();
  }
  t.is(await outcome(readings[0]!), "overloaded");
  t.is(await outcome(readings[1]!), "overloaded");
  const client = openMessage();
  const reading = memory.read(client.message);
  client.send("y".repeat(20));
  client.end();
  t.is(await outcome(reading), "y".repeat(20));
  t.is(await outcome(readings[2]!), "overloaded");
  t.true(memory.usedBytes <= 100);
});

test("the oldest body gives way itself when it grows", async (t) => {
  const { memory } = openMemory(100);
  const [old, young] = [openMessage(), openMessage()];
  const [oldReading, youngReading] = [old, young].map(({ message }) =>
    memory.read(message)
  );
  old.send("x".repeat(40));
  young.send("y".repeat(40));
  await setImmediate();
  old.send("x".repeat(40));
  t.is(await outcome(oldReading!), "overloaded");
  young.end();
  t.is(await outcome(youngReading!), "y".repeat(40));
});

test("a body that is alone in memory is read whatever the total limit", async (t) => {
  const { memory } = openMemory(10);
  const { message, send, end } = openMessage();
  const reading = memory.read(message);
  send("x".repeat(60));
  send("x".repeat(30));
  end();
  t.is(await outcome(reading), "x".repeat(90));
});

test("bodies that are being handled are kept, and new ones are refused", async (t) => {
  const { memory } = openMemory(100);
  const first = openMessage();
  const reading = memory.read(first.message);
  first.send("x".repeat(80));
  first.end();
  const body = (await reading)._unsafeUnwrap();
  t.false(await charges(memory, 30));
  t.true(body.charge(100), "a request that is alone may take more");
  t.true(body.charge(10));
  t.true(await charges(memory, 30));
});

/** Whether there is room for a further body. */
async function charges(memory: BodyMemory, bytes: number): Promise<boolean> {
  const { message, send, end } = openMessage();
  const reading = memory.read(message);
  send("z".repeat(bytes));
  end();
  const result = await reading;
  if (result.isOk()) result.value.free();
  return result.isOk();
}

test("a body above the limit is given up before its end", async (t) => {
  const { memory } = openMemory(1_000);
  const { message, send } = openMessage();
  const reading = memory.read(message);
  send("x".repeat(60));
  send("x".repeat(60));
  t.is(await outcome(reading), "tooLarge");
  t.is(memory.usedBytes, 0);
  const declared = openMessage({ "content-length": "101" });
  t.is(await outcome(memory.read(declared.message)), "tooLarge");
});

test("a body that does not arrive in time is given up, and its connection is closed later", async (t) => {
  const { memory, clock } = openMemory(1_000);
  const { message, send, closed } = openMessage();
  const reading = memory.read(message, { timeoutMs: 2_000 });
  send("x");
  await clock.run(2_100);
  t.is(await outcome(reading), "tooSlow");
  t.is(memory.usedBytes, 0);
  t.false(closed(), "the client may still read the response");
  await clock.run(6_000);
  t.true(closed());
});

test("a body whose client leaves is freed", async (t) => {
  const { memory } = openMemory(1_000);
  const { message, send, leave } = openMessage();
  const reading = memory.read(message);
  send("x");
  await setImmediate();
  leave();
  t.is(await outcome(reading), "callerGone");
  t.is(memory.usedBytes, 0);
});

const FRAGMENTS = 10_000;

// Guards against a crowd whose chunks take all the processor time.
test("of two fragmented bodies the older one is closed; a single one is read", async (t) => {
  const { memory } = openMemory(1_000_000, 100_000);
  const [old, young] = [openMessage(), openMessage()];
  const [oldReading, youngReading] = [old, young].map(({ message }) =>
    memory.read(message)
  );
  for (const { send } of [old, young]) {
    for (let index = 0; index < FRAGMENTS; index++) send("x");
    for (let turn = 0; turn < 10; turn++) await setImmediate();
  }
  t.true(old.closed());
  t.is(await outcome(oldReading!), "overloaded");
  young.end();
  t.is((await outcome(youngReading!)).length, FRAGMENTS);
  t.false(young.closed());
});

test("the rest of a body that is given up is discarded, unless it is fragmented", async (t) => {
  const { memory } = openMemory(1_000);
  const { message, send, closed } = openMessage();
  const reading = memory.read(message);
  send("x".repeat(120));
  t.is(await outcome(reading), "tooLarge");
  for (let index = 0; index < 100; index++) send("x".repeat(1_000));
  await setImmediate();
  t.false(closed());
  for (let index = 0; index < FRAGMENTS; index++) send("x");
  await setImmediate();
  t.true(closed());
});

// Guards against a connection that is closed during a later request on it.
test("a connection whose refused body has ended stays open", async (t) => {
  const { memory, clock } = openMemory(1_000);
  const { message, send, end, closed } = openMessage();
  memory.discard(message);
  send("x".repeat(500));
  end();
  for (let turn = 0; turn < 3; turn++) await setImmediate();
  await clock.run(10_000);
  t.false(closed());
});

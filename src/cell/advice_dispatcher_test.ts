import test from "ava";
import { ManualClock, sleep } from "../clock.ts";
import { Metrics } from "../metrics.ts";
import {
  AdviceDispatcher,
  type AdviceRequest,
  type AdvisedQueue,
} from "./advice_dispatcher.ts";
import type { Advice } from "./types.ts";

const SLOW: AdvisedQueue = {
  name: "slow",
  advice: { baseMs: 857, perWorkerMs: 8.6, ticketMs: 1_500 },
};
const MEDIUM: AdvisedQueue = {
  name: "medium",
  advice: { baseMs: 200, perWorkerMs: 2, ticketMs: 1_500 },
};
const QUICK: AdvisedQueue = {
  name: "quick",
  advice: { baseMs: 20, perWorkerMs: 0.2, ticketMs: 1_500 },
};

/** Creates a dispatcher whose requests are answered by the test. */
function openDispatcher(instances: number) {
  const clock = new ManualClock();
  const sent: { readonly channel: string; respond(advice: Advice): void }[] =
    [];
  const names = Array.from({ length: instances }, (_, index) => `i${index}`);
  const dispatcher = new AdviceDispatcher(
    (channel) =>
      new Promise((resolve) => sent.push({ channel, respond: resolve })),
    () => names,
    { clock, metrics: new Metrics() },
  );
  return { clock, dispatcher, sent };
}

function request({ name, advice }: AdvisedQueue): AdviceRequest {
  return {
    queue: name,
    step: "s",
    workers: ["w"],
    expectedMs: advice.baseMs,
    typicalMs: advice.baseMs,
  };
}

test("a busy channel is free again after its response", async (t) => {
  const { dispatcher, sent } = openDispatcher(1);
  t.is(dispatcher.freeSlotsFor(QUICK), 1);
  const response = dispatcher.send(request(QUICK));
  t.is(dispatcher.freeSlotsFor(QUICK), 0);
  t.is((await dispatcher.send(request(QUICK))).type, "busy");
  sent[0]!.respond({ type: "advised", tickets: new Map() });
  await response;
  t.is(dispatcher.freeSlotsFor(QUICK), 1);
});

test("requests that fail together count as one failure of their channel", async (t) => {
  const { clock, dispatcher, sent } = openDispatcher(2);
  const short = { ...request(QUICK), expectedMs: 10 };
  const responses = Array.from({ length: 6 }, () => dispatcher.send(short));
  t.is(sent.length, 6);
  for (const { respond } of sent) respond({ type: "failed", message: "reset" });
  await Promise.all(responses);
  t.is(dispatcher.channelCount, 0);
  // One channel works again.
  await clock.run(1_100);
  const response = dispatcher.send(short);
  sent.at(-1)!.respond({ type: "advised", tickets: new Map() });
  await response;
  t.is(dispatcher.channelCount, 2);
});

test("channels are used within a second after all of them have failed for long", async (t) => {
  const { clock, dispatcher, sent } = openDispatcher(2);
  for (let failures = 0; failures < 10; failures++) {
    const response = dispatcher.send(request(QUICK));
    sent.at(-1)!.respond({ type: "failed", message: "no advice service" });
    await response;
    await clock.run(1_100);
    t.not(dispatcher.freeSlotsFor(QUICK), 0);
  }
});

test("slow queues alone use the only channel one after the other", async (t) => {
  const { dispatcher, sent } = openDispatcher(1);
  const other = { ...SLOW, name: "other" };
  for (const queue of [SLOW, other, SLOW]) {
    t.is(dispatcher.freeSlotsFor(queue), 1);
    const response = dispatcher.send(request(queue));
    sent.at(-1)!.respond({ type: "advised", tickets: new Map() });
    await response;
  }
});

test("a channel whose request fails in an unexpected way is free again after its cooldown", async (t) => {
  const clock = new ManualClock();
  const dispatcher = new AdviceDispatcher(
    () => Promise.reject(new Error("broken")),
    () => ["i0"],
    { clock, metrics: new Metrics() },
  );
  const response = await dispatcher.send(request(QUICK)).catch(() => undefined);
  t.is(response?.type, "failed");
  await clock.run(1_100);
  t.is(dispatcher.inFlight, 0);
  t.is(dispatcher.freeSlotsFor(QUICK), 1);
});

test("hundreds of slow requests leave channels for medium and quick ones", (t) => {
  const { dispatcher, sent } = openDispatcher(97);
  for (let count = 0; count < 300; count++) void dispatcher.send(request(SLOW));
  t.is(dispatcher.freeSlotsFor(SLOW), 0);
  t.true(dispatcher.freeSlotsFor(MEDIUM) > 0);
  t.true(dispatcher.freeSlotsFor(QUICK) > dispatcher.freeSlotsFor(MEDIUM));
  const before = sent.length;
  void dispatcher.send(request(MEDIUM));
  void dispatcher.send(request(QUICK));
  t.is(sent.length, before + 2);
  t.is(new Set(sent.map(({ channel }) => channel)).size, sent.length);
});

test("a channel with a failed request is not used for a while", async (t) => {
  const { clock, dispatcher, sent } = openDispatcher(1);
  const response = dispatcher.send(request(QUICK));
  sent[0]!.respond({ type: "failed", message: "cut" });
  await response;
  t.is(dispatcher.freeSlotsFor(QUICK), 0);
  clock.advance(1_100);
  t.is(dispatcher.freeSlotsFor(QUICK), 1);
});

test("several quick requests are in flight on a channel", async (t) => {
  const { dispatcher, sent } = openDispatcher(1);
  const ten: AdviceRequest = { ...request(QUICK), expectedMs: 10 };
  const responses = [ten, ten, ten].map((one) => dispatcher.send(one));
  t.is(sent.length, 3);
  t.is((await dispatcher.send(ten)).type, "busy");
  sent[0]!.respond({ type: "advised", tickets: new Map() });
  await responses[0];
  void dispatcher.send(ten);
  t.is(sent.length, 4);
});

test("no request is sent behind a slow one", async (t) => {
  const { dispatcher, sent } = openDispatcher(1);
  void dispatcher.send(request(SLOW));
  t.is(dispatcher.freeSlotsFor(QUICK), 0);
  t.is((await dispatcher.send(request(QUICK))).type, "busy");
  t.is(sent.length, 1);
});

test("a channel with quick requests takes no slow one", async (t) => {
  const { dispatcher } = openDispatcher(1);
  void dispatcher.send(request(QUICK));
  t.is(dispatcher.freeSlotsFor(SLOW), 0);
  t.is((await dispatcher.send(request(SLOW))).type, "busy");
});

/** A queue whose requests come as fast as they are sent, and how many were answered. */
interface Stream {
  readonly queue: AdvisedQueue;
  answered: number;
}

function streamOf(queue: AdvisedQueue): Stream {
  return { queue, answered: 0 };
}

/**
 * Lets streams send requests for a while, the first one whenever it can. Each
 * channel answers one request at a time; those in `failing` answer none.
 */
async function play(
  streams: readonly Stream[],
  { instances, seconds, failing = [] }: {
    readonly instances: number;
    readonly seconds: number;
    readonly failing?: readonly string[];
  },
): Promise<void> {
  const clock = new ManualClock();
  const freeAtMs = new Map<string, number>();
  const names = Array.from({ length: instances }, (_, index) => `i${index}`);
  const dispatcher = new AdviceDispatcher(
    async (channel, { expectedMs }, { timeoutMs }): Promise<Advice> => {
      const nowMs = clock.monotonic();
      if (failing.includes(channel)) {
        await sleep(clock, timeoutMs);
        return { type: "failed", message: "no response" };
      }
      const endMs = Math.max(nowMs, freeAtMs.get(channel) ?? 0) + expectedMs;
      freeAtMs.set(channel, endMs);
      await sleep(clock, endMs - nowMs);
      return { type: "advised", tickets: new Map() };
    },
    () => names,
    { clock, metrics: new Metrics() },
  );
  for (let nowMs = 0; nowMs < 1_000 * seconds; nowMs += 5) {
    for (const stream of streams) {
      const { queue } = stream;
      if (dispatcher.freeSlotsFor(queue) === 0) dispatcher.recordRefusal(queue);
      else {
        void dispatcher.send(request(queue)).then(({ type }) => {
          if (type === "advised") stream.answered++;
        });
      }
    }
    await clock.run(5, 5);
  }
}

for (const instances of [1, 2, 3, 4, 7]) {
  test(`no queue waits without end behind others, channels: ${instances}`, async (t) => {
    const streams = [QUICK, MEDIUM, SLOW].map(streamOf);
    await play(streams, { instances, seconds: 40 });
    for (const { queue, answered } of streams) {
      const { baseMs } = queue.advice;
      // Twice the time that a claim takes, with the requests of the others.
      t.true(answered >= 40_000 / (8 * baseMs), `${queue.name} ${answered}`);
    }
  });

  test(`slow requests leave half of a channel or more to urgent ones, channels: ${instances}`, async (t) => {
    const quick = streamOf(QUICK);
    await play([quick, streamOf(SLOW)], { instances, seconds: 40 });
    const channelShare = quick.answered * QUICK.advice.baseMs / 40_000;
    t.true(channelShare >= 0.5, String(channelShare));
  });
}

test("a queue of the same class is not kept waiting by a more urgent one", async (t) => {
  const second = streamOf({ ...SLOW, name: "second" });
  await play([streamOf(SLOW), second], { instances: 3, seconds: 40 });
  t.true(second.answered >= 5, String(second.answered));
});

test("slow requests use all channels that no other queue uses", async (t) => {
  const slow = streamOf(SLOW);
  await play([slow], { instances: 3, seconds: 30 });
  const channelsUsed = slow.answered * SLOW.advice.baseMs / 30_000;
  t.true(channelsUsed >= 2.5, String(channelsUsed));
});

for (const instances of [2, 3]) {
  test(`a queue gets past a preferred channel that always fails, channels: ${instances}`, async (t) => {
    const slow = streamOf(SLOW);
    const quick = streamOf(QUICK);
    await play([quick, slow], { instances, seconds: 40, failing: ["i0"] });
    t.true(slow.answered >= 3, String(slow.answered));
  });
}

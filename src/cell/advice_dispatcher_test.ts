import test from "ava";
import { ManualClock } from "../clock.ts";
import { Metrics } from "../metrics.ts";
import { AdviceDispatcher, type AdviceRequest } from "./advice_dispatcher.ts";
import type { Advice, AdvicePolicy } from "./types.ts";

const SLOW: AdvicePolicy = { baseMs: 857, perWorkerMs: 8.6, ticketMs: 1_500 };
const MEDIUM: AdvicePolicy = { baseMs: 200, perWorkerMs: 2, ticketMs: 1_500 };
const QUICK: AdvicePolicy = { baseMs: 20, perWorkerMs: 0.2, ticketMs: 1_500 };

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

function request(policy: AdvicePolicy): AdviceRequest {
  return { step: "s", workers: ["w"], expectedMs: policy.baseMs };
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
  const ten: AdviceRequest = { step: "s", workers: ["w"], expectedMs: 10 };
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

import test from "ava";
import { ManualClock } from "../clock.ts";
import { Metrics } from "../metrics.ts";
import { AdviceDesk, type Question } from "./advice_desk.ts";
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
  const dispatcher = new AdviceDesk(
    (channel) =>
      new Promise((resolve) => sent.push({ channel, respond: resolve })),
    () => names,
    { clock, metrics: new Metrics() },
  );
  return { clock, dispatcher, sent };
}

function request(policy: AdvicePolicy): Question {
  return { step: "s", workers: ["w"], expectedMs: policy.baseMs };
}

test("a busy channel is free again after its response", async (t) => {
  const { dispatcher, sent } = openDispatcher(1);
  t.is(dispatcher.freeFor(QUICK), 1);
  const response = dispatcher.ask(request(QUICK));
  t.is(dispatcher.freeFor(QUICK), 0);
  t.is((await dispatcher.ask(request(QUICK))).type, "busy");
  sent[0]!.respond({ type: "advised", tickets: new Map() });
  await response;
  t.is(dispatcher.freeFor(QUICK), 1);
});

test("hundreds of slow requests leave channels for medium and quick ones", (t) => {
  const { dispatcher, sent } = openDispatcher(97);
  for (let count = 0; count < 300; count++) void dispatcher.ask(request(SLOW));
  t.is(dispatcher.freeFor(SLOW), 0);
  t.true(dispatcher.freeFor(MEDIUM) > 0);
  t.true(dispatcher.freeFor(QUICK) > dispatcher.freeFor(MEDIUM));
  const before = sent.length;
  void dispatcher.ask(request(MEDIUM));
  void dispatcher.ask(request(QUICK));
  t.is(sent.length, before + 2);
  t.is(new Set(sent.map(({ channel }) => channel)).size, sent.length);
});

test("a channel with a failed request is not used for a while", async (t) => {
  const { clock, dispatcher, sent } = openDispatcher(1);
  const response = dispatcher.ask(request(QUICK));
  sent[0]!.respond({ type: "failed", message: "cut" });
  await response;
  t.is(dispatcher.freeFor(QUICK), 0);
  clock.advance(1_100);
  t.is(dispatcher.freeFor(QUICK), 1);
});

test("several quick requests are in flight on a channel", async (t) => {
  const { dispatcher, sent } = openDispatcher(1);
  const ten: Question = { step: "s", workers: ["w"], expectedMs: 10 };
  const responses = [ten, ten, ten].map((one) => dispatcher.ask(one));
  t.is(sent.length, 3);
  t.is((await dispatcher.ask(ten)).type, "busy");
  sent[0]!.respond({ type: "advised", tickets: new Map() });
  await responses[0];
  void dispatcher.ask(ten);
  t.is(sent.length, 4);
});

test("no request is sent behind a slow one", async (t) => {
  const { dispatcher, sent } = openDispatcher(1);
  void dispatcher.ask(request(SLOW));
  t.is(dispatcher.freeFor(QUICK), 0);
  t.is((await dispatcher.ask(request(QUICK))).type, "busy");
  t.is(sent.length, 1);
});

test("a channel with quick requests takes no slow one", async (t) => {
  const { dispatcher } = openDispatcher(1);
  void dispatcher.ask(request(QUICK));
  t.is(dispatcher.freeFor(SLOW), 0);
  t.is((await dispatcher.ask(request(SLOW))).type, "busy");
});

import test from "ava";
import { ManualClock } from "../clock.ts";
import { Metrics } from "../metrics.ts";
import { AdviceDesk, type Question } from "./advice_desk.ts";
import type { Advice, AdvicePolicy } from "./types.ts";

const SLOW: AdvicePolicy = { baseMs: 857, perWorkerMs: 8.6, ticketMs: 1_500 };
const MEDIUM: AdvicePolicy = { baseMs: 200, perWorkerMs: 2, ticketMs: 1_500 };
const QUICK: AdvicePolicy = { baseMs: 20, perWorkerMs: 0.2, ticketMs: 1_500 };

/** A desk whose questions are answered when told to. */
function openDesk(instances: number) {
  const clock = new ManualClock();
  const asked: { readonly lane: string; answer(advice: Advice): void }[] = [];
  const names = Array.from({ length: instances }, (_, index) => `i${index}`);
  const desk = new AdviceDesk(
    (lane) => new Promise((resolve) => asked.push({ lane, answer: resolve })),
    () => names,
    { clock, metrics: new Metrics() },
  );
  return { clock, desk, asked };
}

function question(policy: AdvicePolicy): Question {
  return { step: "s", workers: ["w"], expectedMs: policy.baseMs };
}

test("a lane that is taken is free again with its answer", async (t) => {
  const { desk, asked } = openDesk(1);
  t.is(desk.freeFor(QUICK), 1);
  const answer = desk.ask(question(QUICK));
  t.is(desk.freeFor(QUICK), 0);
  t.is((await desk.ask(question(QUICK))).type, "busy");
  asked[0]!.answer({ type: "advised", tickets: new Map() });
  await answer;
  t.is(desk.freeFor(QUICK), 1);
});

test("hundreds of slow questions leave lanes to medium and quick ones", (t) => {
  const { desk, asked } = openDesk(97);
  for (let sent = 0; sent < 300; sent++) void desk.ask(question(SLOW));
  t.is(desk.freeFor(SLOW), 0);
  t.true(desk.freeFor(MEDIUM) > 0);
  t.true(desk.freeFor(QUICK) > desk.freeFor(MEDIUM));
  const before = asked.length;
  void desk.ask(question(MEDIUM));
  void desk.ask(question(QUICK));
  t.is(asked.length, before + 2);
  t.is(new Set(asked.map(({ lane }) => lane)).size, asked.length);
});

test("a lane that failed rests for a while", async (t) => {
  const { clock, desk, asked } = openDesk(1);
  const answer = desk.ask(question(QUICK));
  asked[0]!.answer({ type: "failed", message: "cut" });
  await answer;
  t.is(desk.freeFor(QUICK), 0);
  clock.advance(1_100);
  t.is(desk.freeFor(QUICK), 1);
});

test("quick questions keep a lane at work while answers are on their way", async (t) => {
  const { desk, asked } = openDesk(1);
  const ten: Question = { step: "s", workers: ["w"], expectedMs: 10 };
  const answers = [ten, ten, ten].map((one) => desk.ask(one));
  t.is(asked.length, 3);
  t.is((await desk.ask(ten)).type, "busy");
  asked[0]!.answer({ type: "advised", tickets: new Map() });
  await answers[0];
  void desk.ask(ten);
  t.is(asked.length, 4);
});

test("nothing waits behind a slow question", async (t) => {
  const { desk, asked } = openDesk(1);
  void desk.ask(question(SLOW));
  t.is(desk.freeFor(QUICK), 0);
  t.is((await desk.ask(question(QUICK))).type, "busy");
  t.is(asked.length, 1);
});

test("a lane with quick questions takes no slow one", async (t) => {
  const { desk } = openDesk(1);
  void desk.ask(question(QUICK));
  t.is(desk.freeFor(SLOW), 0);
  t.is((await desk.ask(question(SLOW))).type, "busy");
});

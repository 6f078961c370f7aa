import test from "ava";
import { ManualClock } from "../clock.ts";
import { WaitingQueue } from "../policy/waiting_queue.ts";
import { DrainRates } from "./drain_rates.ts";

const BUDGET_MS = 5_000;

interface Case {
  readonly name: string;
  readonly departures: number;
  readonly waiting: number;
  readonly waitedMs: number;
  readonly inTime: boolean;
}

const cases: readonly Case[] = [
  {
    name: "empty",
    departures: 10,
    waiting: 0,
    waitedMs: 0,
    inTime: true,
  },
  { name: "burst", departures: 10, waiting: 50, waitedMs: 0, inTime: true },
  {
    name: "slow",
    departures: 10,
    waiting: 50,
    waitedMs: 400,
    inTime: false,
  },
  {
    name: "fast",
    departures: 400,
    waiting: 50,
    waitedMs: 400,
    inTime: true,
  },
  {
    name: "unknown",
    departures: 0,
    waiting: 50,
    waitedMs: 400,
    inTime: true,
  },
];

for (const { name, departures, waiting, waitedMs, inTime } of cases) {
  test(`response in time, by state and rate of the queue: ${name}`, (t) => {
    const clock = new ManualClock();
    const queue = new WaitingQueue(() => ({
      maxWaiting: 100,
      maxWaitingPerTeam: 100,
    }));
    const rates = new DrainRates({ clock, queue });
    for (let index = 0; index < departures; index++) rates.record("counter");
    clock.advance(10_000 - waitedMs - 1);
    const arrivedAtMs = clock.monotonic();
    for (let index = 0; index < waiting; index++) {
      queue.push({
        id: String(index),
        team: "a",
        queue: "counter",
        workload: "print",
        urgency: "urgent",
        need: { cpuMillis: 1, memoryMib: 1, accelerators: 0, slots: 1 },
        arrivedAtMs,
      });
    }
    clock.advance(waitedMs);
    t.is(rates.canAnswerInTime("counter", BUDGET_MS), inTime);
    t.true(rates.canAnswerInTime("other", BUDGET_MS));
  });
}

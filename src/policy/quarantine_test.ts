import test from "ava";
import { Quarantine } from "./quarantine.ts";

function quarantineOf(workers: number): Quarantine {
  const quarantine = new Quarantine();
  for (let i = 0; i < workers; i++) quarantine.add(`w${i}`);
  return quarantine;
}

function record(
  quarantine: Quarantine,
  outcome: { worker: number; failed: boolean; nowMs?: number; times?: number },
): string {
  const { worker, failed, nowMs = 0, times = 5 } = outcome;
  const attempt = { worker: `w${worker}`, workload: "imports", failed, nowMs };
  for (let i = 0; i < times; i++) quarantine.record(attempt);
  return quarantine.health(`w${worker}`, nowMs).type;
}

test("a worker that fails work which succeeds elsewhere is quarantined", (t) => {
  const quarantine = quarantineOf(4);
  for (let i = 1; i < 4; i++) record(quarantine, { worker: i, failed: false });
  t.is(record(quarantine, { worker: 0, failed: true }), "quarantined");
  t.is(record(quarantine, { worker: 1, failed: false }), "trusted");
});

test("a workload that fails everywhere quarantines no worker", (t) => {
  const quarantine = quarantineOf(8);
  for (let round = 0; round < 5; round++) {
    for (let i = 0; i < 8; i++) {
      t.is(
        record(quarantine, { worker: i, failed: true, times: 1 }),
        "trusted",
      );
    }
  }
});

test("failures of a workload that ran on one worker only do not quarantine it", (t) => {
  t.is(record(quarantineOf(4), { worker: 0, failed: true }), "trusted");
});

test("counts from peers serve as the comparison for a worker's failures", (t) => {
  const quarantine = quarantineOf(2);
  const counts = [{ workload: "imports", attempts: 50, failures: 1 }];
  quarantine.setPeerCounts("peer", counts);
  t.is(record(quarantine, { worker: 0, failed: true }), "quarantined");
});

test("at most a quarter of the workers are quarantined at once", (t) => {
  const quarantine = quarantineOf(8);
  quarantine.setPeerCounts("peer", [
    { workload: "imports", attempts: 9_999, failures: 0 },
  ]);
  const standings = [0, 1, 2, 3].map((worker) =>
    record(quarantine, { worker, failed: true })
  );
  t.deepEqual(standings, ["quarantined", "quarantined", "trusted", "trusted"]);
});

test("probes: a failed one doubles the quarantine, a successful one ends it", (t) => {
  const quarantine = quarantineOf(4);
  for (let i = 1; i < 4; i++) record(quarantine, { worker: i, failed: false });
  record(quarantine, { worker: 0, failed: true });
  t.is(quarantine.health("w0", 5_000).type, "probing");
  quarantine.beginProbe("w0", 5_000);
  t.is(quarantine.health("w0", 5_001).type, "quarantined");
  record(quarantine, { worker: 0, failed: true, nowMs: 6_000, times: 1 });
  t.deepEqual(quarantine.health("w0", 6_000), {
    type: "quarantined",
    untilMs: 16_000,
  });
  quarantine.beginProbe("w0", 16_000);
  const outcome = { worker: 0, failed: false, nowMs: 17_000, times: 1 };
  t.is(record(quarantine, outcome), "trusted");
});

test("probes: attempts from before the quarantine are ignored", (t) => {
  const quarantine = quarantineOf(4);
  for (let i = 1; i < 4; i++) record(quarantine, { worker: i, failed: false });
  record(quarantine, { worker: 0, failed: true });
  const outcome = { worker: 0, failed: false, nowMs: 100, times: 1 };
  t.is(record(quarantine, outcome), "quarantined");
});

test("probes: another one is allowed after the timeout", (t) => {
  const quarantine = quarantineOf(4);
  for (let i = 1; i < 4; i++) record(quarantine, { worker: i, failed: false });
  record(quarantine, { worker: 0, failed: true });
  quarantine.beginProbe("w0", 5_000);
  t.is(quarantine.health("w0", 35_000).type, "probing");
});

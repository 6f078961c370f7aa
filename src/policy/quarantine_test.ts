import test from "ava";
import { Quarantine } from "./quarantine.ts";

function quarantineOf(workers: number): Quarantine {
  const quarantine = new Quarantine();
  for (let i = 0; i < workers; i++) quarantine.add(`w${i}`);
  return quarantine;
}

function run(
  quarantine: Quarantine,
  end: { worker: number; failed: boolean; nowMs?: number; times?: number },
): string {
  const { worker, failed, nowMs = 0, times = 5 } = end;
  const attempt = { worker: `w${worker}`, workload: "imports", failed, nowMs };
  for (let i = 0; i < times; i++) quarantine.record(attempt);
  return quarantine.standing(`w${worker}`, nowMs).type;
}

test("a worker that fails what peers carry out", (t) => {
  const quarantine = quarantineOf(4);
  for (let i = 1; i < 4; i++) run(quarantine, { worker: i, failed: false });
  t.is(run(quarantine, { worker: 0, failed: true }), "quarantined");
  t.is(run(quarantine, { worker: 1, failed: false }), "trusted");
});

test("a bad workload quarantines nobody", (t) => {
  const quarantine = quarantineOf(8);
  for (let round = 0; round < 5; round++) {
    for (let i = 0; i < 8; i++) {
      t.is(run(quarantine, { worker: i, failed: true, times: 1 }), "trusted");
    }
  }
});

test("a workload that ran on one worker says nothing of it", (t) => {
  t.is(run(quarantineOf(4), { worker: 0, failed: true }), "trusted");
});

test("peers' counts judge a lone worker's failures", (t) => {
  const quarantine = quarantineOf(2);
  const counts = [{ workload: "imports", attempts: 50, failures: 1 }];
  quarantine.setPeerCounts("peer", counts);
  t.is(run(quarantine, { worker: 0, failed: true }), "quarantined");
});

test("at most a quarter at once", (t) => {
  const quarantine = quarantineOf(8);
  quarantine.setPeerCounts("peer", [
    { workload: "imports", attempts: 9_999, failures: 0 },
  ]);
  const standings = [0, 1, 2, 3].map((worker) =>
    run(quarantine, { worker, failed: true })
  );
  t.deepEqual(standings, ["quarantined", "quarantined", "trusted", "trusted"]);
});

test("probes: failed ones double the quarantine, a good one ends it", (t) => {
  const quarantine = quarantineOf(4);
  for (let i = 1; i < 4; i++) run(quarantine, { worker: i, failed: false });
  run(quarantine, { worker: 0, failed: true });
  t.is(quarantine.standing("w0", 5_000).type, "probing");
  quarantine.beginProbe("w0", 5_000);
  t.is(quarantine.standing("w0", 5_001).type, "quarantined");
  run(quarantine, { worker: 0, failed: true, nowMs: 6_000, times: 1 });
  t.deepEqual(quarantine.standing("w0", 6_000), {
    type: "quarantined",
    untilMs: 16_000,
  });
  quarantine.beginProbe("w0", 16_000);
  const end = { worker: 0, failed: false, nowMs: 17_000, times: 1 };
  t.is(run(quarantine, end), "trusted");
});

test("probes: attempts from before prove nothing", (t) => {
  const quarantine = quarantineOf(4);
  for (let i = 1; i < 4; i++) run(quarantine, { worker: i, failed: false });
  run(quarantine, { worker: 0, failed: true });
  const end = { worker: 0, failed: false, nowMs: 100, times: 1 };
  t.is(run(quarantine, end), "quarantined");
});

test("probes: a lost one is followed by another", (t) => {
  const quarantine = quarantineOf(4);
  for (let i = 1; i < 4; i++) run(quarantine, { worker: i, failed: false });
  run(quarantine, { worker: 0, failed: true });
  quarantine.beginProbe("w0", 5_000);
  t.is(quarantine.standing("w0", 35_000).type, "probing");
});

import test from "ava";
import { ManualClock } from "../../clock.ts";
import { testEntry, testQueue, testStep } from "../_fixtures_test.ts";
import { Fleet, type Run } from "../fleet.ts";
import { newJob } from "../job.ts";
import { newRun } from "../run.ts";
import { findBarredRuns } from "./barred_runs.ts";

/** Runs of one step, one on a worker in each of these zones. */
function runsIn(zones: readonly string[], gang: boolean): readonly Run[] {
  const fleet = new Fleet();
  const job = newJob({
    id: "00000000000000aa",
    queue: "receipts",
    team: "",
    spec: { payload: "", steps: [testStep({ tasks: zones.length, gang })] },
    policy: testQueue(),
    acceptedMs: 0,
    owed: true,
  });
  const [step] = [...job.occurrences.values()].flat();
  const nowMs = new ManualClock().monotonic();
  return zones.map((zone, index) => {
    const worker = fleet.getOrCreate(`w${index}`);
    worker.entry = testEntry(worker.id, { zone });
    return newRun(step!, { task: step!.tasks[index]!, worker, nowMs });
  });
}

function barred(
  runs: readonly Run[],
  { evacuated, isStale = false }: {
    readonly evacuated: readonly string[];
    readonly isStale?: boolean;
  },
): readonly string[] {
  const has = (zone: string) => evacuated.includes(zone);
  const found = findBarredRuns(runs, { has, isStale });
  return found.barred.map(({ worker }) => worker.id);
}

test("only the runs in an evacuated zone are barred", (t) => {
  const runs = runsIn(["a", "b", "a"], false);
  t.deepEqual(barred(runs, { evacuated: [] }), []);
  t.deepEqual(barred(runs, { evacuated: ["c"] }), []);
  t.deepEqual(barred(runs, { evacuated: ["b"] }), ["w1"]);
});

// Guards against gang members whose capacity stays in use until their workers
// report each of them as absent.
test("a gang is barred as a whole", (t) => {
  const runs = runsIn(["a", "b", "a"], true);
  t.deepEqual(barred(runs, { evacuated: ["c"] }), []);
  t.deepEqual(barred(runs, { evacuated: ["b"] }), ["w0", "w1", "w2"]);
});

test("all runs are barred while the evacuated zones are stale", (t) => {
  const runs = runsIn(["a", "b"], false);
  const view = { evacuated: ["b"], isStale: true };
  t.deepEqual(barred(runs, view), ["w0", "w1"]);
  t.is(
    findBarredRuns(runs, { has: () => false, isStale: true }).reason,
    "zonesUnread",
  );
});

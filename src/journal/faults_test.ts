import test from "ava";
import fc from "fast-check";
import { errAsync, type Result } from "neverthrow";
import { ManualClock } from "../clock.ts";
import { MemoryService, MemoryStore } from "../fakes/memory_store.ts";
import type { AppendFailure } from "./failures.ts";
import { Segment, SEGMENT_LIMITS } from "./segment.ts";
import { WorkTable } from "./work_table.ts";
import { WriteBudget } from "./write_budget.ts";

const SEED = 20260103;
const RUNS = 300;

const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant("append" as const) }) },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant("loseAnswer" as const),
      effect: fc.constantFrom(
        "now" as const,
        "never" as const,
        "late" as const,
      ),
    }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant("cut" as const) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant("heal" as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant("busy" as const) }) },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant("takeover" as const) }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant("close" as const) }) },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant("wait" as const),
      ms: fc.nat(800),
    }),
  },
);

type FaultStep = typeof step extends fc.Arbitrary<infer T> ? T : never;

const answerLost = {
  type: "storeAnswerLost",
  message: "the answer was lost",
} as const;

/** Successive owners of one segment; previous owners keep appending. */
class FaultHarness {
  readonly results = new Map<number, Result<void, AppendFailure>>();
  readonly #clock = new ManualClock();
  readonly #service = new MemoryService(this.#clock);
  readonly #owners: { segment: Segment; store: MemoryStore }[] = [];
  #fence = 0;
  #ids = 0;
  #works = 0;

  async carryOut(action: FaultStep): Promise<void> {
    switch (action.type) {
      case "append":
        for (const { segment } of this.#owners) this.#append(segment);
        return;
      case "loseAnswer":
        return this.#loseAnswer(action.effect);
      case "cut":
        return this.#owners.at(-1)?.store.cut();
      case "heal":
        return this.#owners.at(-1)?.store.heal();
      case "busy": {
        const store = this.#owners.at(-1)?.store;
        if (store !== undefined) store.faults.remainingCalls = 0;
        this.#clock.after(300, () => {
          if (store !== undefined) store.faults.remainingCalls = Infinity;
        });
        return;
      }
      case "takeover":
        await this.takeOver();
        return;
      case "close":
        void this.#owners.at(-1)?.segment.close();
        return;
      case "wait":
        return await this.#clock.run(action.ms);
    }
  }

  /** Opens the segment for a new owner; returns the replayed table. */
  async takeOver(): Promise<WorkTable> {
    const store = new MemoryStore(this.#service);
    const table = new WorkTable();
    const fence = ++this.#fence;
    const opened = Segment.open({
      store,
      clock: this.#clock,
      budget: new WriteBudget(this.#clock, { perSecond: 1000, burst: 10 }),
      claim: {
        segment: "a",
        owner: `o${fence}`,
        fence,
        newWriteId: () => `w${this.#ids++}`,
      },
      limits: { ...SEGMENT_LIMITS, maxBatches: 3, maxDeadBytes: 0 },
      table,
      onLost: () => {},
    });
    await this.#clock.run(50);
    const segment = (await opened)._unsafeUnwrap();
    this.#owners.push({ segment, store });
    return table;
  }

  /** Ends every fault and waits for pending writes. */
  async end(): Promise<void> {
    for (const { store } of this.#owners) store.heal();
    await this.#clock.run(5_000, 50);
  }

  #append(segment: Segment): void {
    const work = this.#works++;
    segment.append([{
      type: "submitted",
      work,
      team: "t",
      workload: "w",
      payload: "",
      count: 1,
      gang: false,
      at: 0,
    }]).then((result) => this.results.set(work, result));
  }

  #loseAnswer(effect: "now" | "never" | "late"): void {
    const store = this.#owners.at(-1)?.store;
    if (store === undefined) return;
    const { commit } = store;
    store.commit = (conditions, writes) => {
      store.commit = commit;
      if (effect === "now") this.#service.apply(conditions, writes);
      if (effect === "late") {
        this.#clock.after(200, () => this.#service.apply(conditions, writes));
      }
      return errAsync(answerLost);
    };
  }
}

test("acknowledged records are in the journal and rejected records are not", async (t) => {
  const seen = new Set<string>();
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 10, maxLength: 40, size: "max" }),
      async (steps) => {
        const harness = new FaultHarness();
        await harness.takeOver();
        for (const action of steps) await harness.carryOut(action);
        await harness.end();
        const table = await harness.takeOver();
        for (const [work, result] of harness.results) {
          const kept = table.get(work) !== undefined;
          const code = result.isOk() ? "ok" : result.error.type;
          seen.add(code);
          if (code === "ok") t.true(kept, `${work} ${code}`);
          else if (code !== "appendUnknown") t.false(kept, `${work} ${code}`);
        }
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
  t.deepEqual([...seen].sort(), [
    "appendUnknown",
    "ok",
    "segmentClosed",
    "segmentLost",
    "storeAway",
  ]);
});

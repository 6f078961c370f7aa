/**
 * Measures the journal of deferred work: the latency of acknowledgements and
 * the writes to the store by the rate of tasks, and the reads of an adoption.
 *
 * @module
 */
import { ManualClock } from "../src/clock.ts";
import { MemoryService, MemoryStore } from "../src/fakes/memory_store.ts";
import type { JournalRecord } from "../src/journal/records.ts";
import { Segment, SEGMENT_LIMITS } from "../src/journal/segment.ts";
import { WorkTable } from "../src/journal/work_table.ts";
import { WriteBudget } from "../src/journal/write_budget.ts";
import { Random } from "./random.ts";
import type { Results } from "./results.ts";

const RUN_MS = 10_000;
/** Simulated time after the last submission. */
const TAIL_MS = 2_000;
const LATENCY_MS = 3;
const PAYLOAD = "x".repeat(400);
const TASK_MS = 1_000;
const TASKS_PER_SECOND = [10, 100, 1_000, 3_000] as const;
const WRITES_PER_SECOND = [10, 25, 50] as const;

/** Measures every rate of tasks with every write budget. */
export async function benchJournal(
  results: Results,
  seed: number,
): Promise<void> {
  for (const perSecond of WRITES_PER_SECOND) {
    for (const rate of TASKS_PER_SECOND) {
      const cell = new JournalBenchmark(perSecond, new Random(seed));
      await cell.run(rate);
      await cell.print(results, `budget${perSecond}_tasks${rate}`);
    }
  }
}

class JournalBenchmark {
  readonly #clock = new ManualClock();
  readonly #service = new MemoryService(this.#clock);
  readonly #table = new WorkTable();
  readonly #ackLatenciesMs: number[] = [];
  readonly #random: Random;
  readonly #writesPerSecond: number;
  #rejected = 0;
  #writes = 0;
  #bytes = 0;

  constructor(perSecond: number, random: Random) {
    this.#writesPerSecond = perSecond;
    this.#random = random;
  }

  /** Submits tasks at a rate, tasks per second, and runs them. */
  async run(rate: number): Promise<void> {
    const segment = await this.#openSegment("a", {
      fence: 1,
      table: this.#table,
    });
    for (let ms = 0; ms < RUN_MS; ms++) {
      const due = rate / 1000;
      const extra = this.#random.uniform() < due % 1 ? 1 : 0;
      for (let n = 0; n < Math.floor(due) + extra; n++) this.#submit(segment);
      await this.#clock.run(1, 1);
    }
    await this.#clock.run(TAIL_MS, 1);
  }

  /** Prints the figures; adopts the segment to count the reads. */
  async print(results: Results, name: string): Promise<void> {
    const sorted = [...this.#ackLatenciesMs].sort((a, b) => a - b);
    const tasks = Math.max(1, sorted.length);
    results.line(`${name}_p50_ms`, quantile(sorted, 0.5));
    results.line(`${name}_p99_ms`, quantile(sorted, 0.99));
    results.line(`${name}_refused`, this.#rejected);
    results.line(
      `${name}_writes_s`,
      this.#writes / ((RUN_MS + TAIL_MS) / 1000),
    );
    results.line(`${name}_bytes_a_task`, this.#bytes / tasks);
    const before = this.#service.calls;
    const table = new WorkTable();
    await this.#openSegment("b", { fence: 2, table });
    results.line(`${name}_adoption_calls`, this.#service.calls - before);
    results.line(`${name}_adopted_works`, table.size);
  }

  async #openSegment(
    owner: string,
    options: { readonly fence: number; readonly table: WorkTable },
  ): Promise<Segment> {
    const { fence, table } = options;
    const perSecond = this.#writesPerSecond;
    const opening = Segment.open({
      store: this.#countingStore(),
      clock: this.#clock,
      budget: new WriteBudget(this.#clock, { perSecond, burst: 1 }),
      claim: { segment: "a", owner, fence, newWriteId: () => this.#randomId() },
      limits: SEGMENT_LIMITS,
      table,
      onLost: () => {},
    });
    let opened: Segment | undefined;
    const waiting = opening.map((segment) => opened = segment);
    while (opened === undefined) await this.#clock.run(1, 1);
    await waiting;
    return opened;
  }

  #countingStore(): MemoryStore {
    const store = new MemoryStore(this.#service);
    store.faults.latencyMs = LATENCY_MS;
    const commit = store.commit.bind(store);
    store.commit = (conditions, writes) => {
      this.#writes++;
      for (const write of writes) {
        if (write.type === "put") this.#bytes += write.value.length;
      }
      return commit(conditions, writes);
    };
    return store;
  }

  #submit(segment: Segment): void {
    const sentMs = this.#clock.monotonic();
    const work = segment.takeSequence();
    segment.append([submitted(work, sentMs)]).match(
      () => {
        this.#ackLatenciesMs.push(this.#clock.monotonic() - sentMs);
        this.#execute(segment, work);
      },
      () => this.#rejected++,
    );
  }

  #execute(segment: Segment, work: number): void {
    const attempt = this.#randomId();
    const task = { work, task: 0, attempt, at: this.#clock.monotonic() };
    segment.append([{ type: "attempt", ...task, worker: "w1", fence: 7 }]);
    this.#clock.after(TASK_MS, () => {
      const outcome = { type: "succeeded", result: "eA==" } as const;
      segment.append([{ type: "ended", ...task, outcome }]);
    });
  }

  #randomId(): string {
    const digits = Array.from(
      { length: 32 },
      () => this.#random.integerBelow(16),
    );
    return digits.map((digit) => digit.toString(16)).join("");
  }
}

function submitted(work: number, at: number): JournalRecord {
  const task = { team: "darkhan", workload: "billing", payload: PAYLOAD };
  return { type: "submitted", work, ...task, count: 1, gang: false, at };
}

function quantile(sorted: readonly number[], part: number): number {
  return sorted[Math.floor((sorted.length - 1) * part)] ?? NaN;
}

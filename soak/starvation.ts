/**
 * Finds periods in which the machine gave the processes of a soak run too little
 * processor time, so that its verdict does not depend on other programs.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";

const SAMPLE_INTERVAL_MS = 250;
/** Part of a period for which a process may be ready to run and wait for a core. */
const MAX_WAITING_SHARE = 0.4;
const NANOSECONDS_PER_MS = 1_000_000;

/** A period in which a process waited for a core, Unix milliseconds. */
export interface StarvedPeriod {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Samples how long processes have waited for a core, as the kernel counts it. Finds nothing on systems that do not count it. */
export class StarvationMonitor {
  readonly periods: StarvedPeriod[] = [];
  readonly #pids: () => readonly (number | undefined)[];
  readonly #timer: NodeJS.Timeout;
  #waitedMs = new Map<number, number>();
  #sampledMs = Date.now();

  /** `pids` returns the processes to watch beside this one. */
  constructor(pids: () => readonly (number | undefined)[]) {
    this.#pids = pids;
    this.#timer = setInterval(() => this.#sample(), SAMPLE_INTERVAL_MS);
  }

  /** Total length of the periods, milliseconds. */
  get totalMs(): number {
    return this.periods.reduce(
      (sum, { fromMs, untilMs }) => sum + untilMs - fromMs,
      0,
    );
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #sample(): void {
    const nowMs = Date.now();
    const before = this.#waitedMs;
    this.#waitedMs = new Map(
      [process.pid, ...this.#pids()].flatMap((pid) => {
        const waitedMs = pid === undefined ? undefined : readWaitedMs(pid);
        return waitedMs === undefined ? [] : [[pid!, waitedMs] as const];
      }),
    );
    const period = { fromMs: this.#sampledMs, untilMs: nowMs };
    this.#sampledMs = nowMs;
    if (isStarved(period, before, this.#waitedMs)) this.periods.push(period);
  }
}

/** Whether a process waited for a core for too much of a period. `before` and `after` are the sums at its start and end, milliseconds by process. */
export function isStarved(
  { fromMs, untilMs }: StarvedPeriod,
  before: ReadonlyMap<number, number>,
  after: ReadonlyMap<number, number>,
): boolean {
  return [...after].some(([pid, waitedMs]) =>
    // A process that has just started has waited in this period only.
    waitedMs - (before.get(pid) ?? 0) > MAX_WAITING_SHARE * (untilMs - fromMs)
  );
}

/** How long the main thread of a process has waited for a core since its start, milliseconds. */
function readWaitedMs(pid: number): number | undefined {
  try {
    const [, waited] = readFileSync(`/proc/${pid}/schedstat`, "utf8")
      .split(" ");
    return Number(waited) / NANOSECONDS_PER_MS;
  } catch {
    // The process has ended, or the system does not count this.
    return undefined;
  }
}

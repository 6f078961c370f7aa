import test from "ava";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { ManualClock } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import { silentLog } from "../logger.ts";
import { OperatorWatch } from "./operator_watch.ts";
import type { EvacuationState, PlatformDirectory } from "./ports.ts";
import { ActiveSet } from "./active_set.ts";
import type { ClusterSet } from "./types.ts";
import { ZoneEvacuations } from "./zone_evacuations.ts";

/** How long one call waits for an update. */
const WATCH_TIMEOUT_MS = 1_000;
const RESPONSE_LOST: StoreFailure = {
  type: "storeAnswerLost",
  message: "lost",
};
const SET: ClusterSet = { version: 1, queues: [], teams: [], maxBodyBytes: 1 };

/** A directory that counts calls, and fails those in `failing`. */
class CountingDirectory implements PlatformDirectory {
  readonly calls = { operators: 0, nextOperators: 0, evacuations: 0 };
  readonly failing = new Set<string>();
  state: EvacuationState = { evacuations: [], revision: 1 };
  readonly #clock: ManualClock;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  workers(): ReturnType<PlatformDirectory["workers"]> {
    return okAsync({ workers: [], foreign: 0 });
  }

  operatorState(): ReturnType<PlatformDirectory["operatorState"]> {
    this.calls.operators++;
    if (this.failing.has("operators")) return errAsync(RESPONSE_LOST);
    return okAsync({ ...this.state, set: SET });
  }

  nextOperatorUpdate(): ReturnType<PlatformDirectory["nextOperatorUpdate"]> {
    this.calls.nextOperators++;
    const wait = new Promise<void>((resolve) =>
      this.#clock.after(WATCH_TIMEOUT_MS, resolve)
    );
    return ResultAsync.fromSafePromise(wait).andThen(() =>
      this.failing.has("nextOperators")
        ? errAsync(RESPONSE_LOST)
        : okAsync({ type: "state", ...this.state, set: undefined } as const)
    );
  }

  evacuations(): ReturnType<PlatformDirectory["evacuations"]> {
    this.calls.evacuations++;
    if (this.failing.has("evacuations")) return errAsync(RESPONSE_LOST);
    return okAsync(this.state);
  }
}

function open(evacuateMs?: number) {
  const clock = new ManualClock();
  const directory = new CountingDirectory(clock);
  const set = new ActiveSet({ clock, log: silentLog });
  const log = silentLog;
  const evacuations = new ZoneEvacuations({ clock, log, evacuateMs });
  const options = { directory, set, evacuations, clock, log };
  void new OperatorWatch(options).run();
  return { clock, directory, set, evacuations };
}

// Guards against store calls for evacuations beyond the read and the waits that the operator set needs anyway.
test("without updates the store gets no calls besides the waits for updates", async (t) => {
  const { clock, directory, set, evacuations } = open(5_000);
  await clock.run(10_500);
  t.is(set.version, 1);
  t.false(evacuations.isStale);
  t.deepEqual(directory.calls, {
    operators: 1,
    nextOperators: 11,
    evacuations: 0,
  });
});

test("the state is read again after a failed wait for updates", async (t) => {
  const { clock, directory, evacuations } = open();
  await clock.run(500);
  directory.failing.add("nextOperators");
  directory.state = {
    evacuations: [{ zone: "b", revision: 5 }],
    revision: 6,
  };
  await clock.run(1_500);
  t.true(evacuations.has("b"));
  t.is(directory.calls.operators, 2);
});

// Guards against a leader that can't start any runs because reading the large operator set fails.
test("the evacuations alone are read when they are stale and reading the whole state fails", async (t) => {
  const { clock, directory, evacuations } = open(5_000);
  await clock.run(500);
  directory.failing.add("nextOperators").add("operators");
  directory.state = {
    evacuations: [{ zone: "b", revision: 5 }],
    revision: 6,
  };
  await clock.run(3_000);
  t.is(directory.calls.evacuations, 0);
  await clock.run(2_000);
  t.true(evacuations.has("b"));
  t.false(evacuations.isStale);
});

// Guards against a process that, after a suspension, can't start runs until its current wait for updates has ended.
test("stale state is read again at once", async (t) => {
  const { clock, directory, evacuations } = open(5_000);
  await clock.run(500);
  clock.advance(20_000);
  t.true(evacuations.isStale);
  await clock.run(100);
  t.false(evacuations.isStale);
  t.is(directory.calls.operators, 2);
});

// Guards against a leader that starts nothing because the zones stay unread.
test("the state is read again after an unexpected failure", async (t) => {
  const { clock, directory, evacuations } = open(5_000);
  await clock.run(500);
  const { state } = directory;
  Object.defineProperty(directory, "state", {
    configurable: true,
    get: () => {
      throw new Error("broken");
    },
  });
  await clock.run(1_000);
  Object.defineProperty(directory, "state", { value: state });
  await clock.run(10_000);
  t.false(evacuations.isStale);
});

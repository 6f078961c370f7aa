import test from "ava";
import { errAsync, ResultAsync } from "neverthrow";
import { ManualClock, sleep } from "../clock.ts";
import { silentLog } from "../logger.ts";
import type { Peers } from "../ports/peers.ts";
import { FakeStore } from "./_fake_store_test.ts";
import { SuspicionCheck, type SuspicionVerdict } from "./suspicion_check.ts";

/** How a peer replies: it hears the leader, does not hear it, has seen a later leader, or is dead. */
type PeerBehavior = "hears" | "misses" | "later" | "dead";

const LEADER = { name: "h", address: "h:1", cores: 1, boot: "h", fence: 3 };

interface CheckResult {
  readonly verdict: SuspicionVerdict;
  readonly elapsedMs: number;
}

async function runCheck(
  behaviors: readonly PeerBehavior[],
): Promise<CheckResult> {
  const clock = new ManualClock();
  const others = behaviors.map((_, index) => ({
    name: `m${index}`,
    address: `m${index}:1`,
    cores: 1,
  }));
  const peers = {
    call(peer: string, _call: unknown, { timeoutMs }: { timeoutMs: number }) {
      const behavior = behaviors[Number(peer.slice(1))];
      const wait = (ms: number) =>
        ResultAsync.fromSafePromise(sleep(clock, ms));
      if (behavior === "dead") {
        return wait(timeoutMs).andThen(() =>
          errAsync({ type: "peerSilent", message: "dead" })
        );
      }
      return wait(5).map(() => ({
        boot: peer,
        holds: false,
        fence: behavior === "later" ? 4 : 3,
        hearsHolder: behavior === "hears",
      }));
    },
  } as unknown as Peers;
  const suspicionCheck = new SuspicionCheck({
    cell: "cell/0",
    self: { name: "self", address: "self:1", cores: 1 },
    peers,
    store: new FakeStore(),
    clock,
    log: silentLog,
  });
  let elapsedMs = 0;
  const verdict = suspicionCheck.check(LEADER, others, { silenceMs: 500 })
    .then((verdict) => {
      elapsedMs = clock.monotonic();
      return verdict;
    });
  await clock.run(400);
  return { verdict: await verdict, elapsedMs };
}

const CASES: readonly {
  readonly name: string;
  readonly behaviors: readonly PeerBehavior[];
  readonly verdict: SuspicionVerdict;
  readonly withinMs: number;
}[] = [
  {
    name: "most peers miss the leader, some are dead",
    behaviors: ["misses", "misses", "misses", "dead", "dead"],
    verdict: "silent",
    withinMs: 20,
  },
  {
    name: "most peers hear the leader, some are dead",
    behaviors: ["hears", "hears", "hears", "misses", "dead"],
    verdict: "heard",
    withinMs: 20,
  },
  {
    name: "one peer has seen a later leader",
    behaviors: ["later", "dead", "dead", "hears", "misses"],
    verdict: "replaced",
    withinMs: 20,
  },
  {
    name: "most peers are dead and the others miss the leader",
    behaviors: ["misses", "dead", "dead", "dead"],
    verdict: "silent",
    withinMs: 200,
  },
  {
    name: "most peers are dead and the others hear the leader",
    behaviors: ["hears", "dead", "dead", "dead"],
    verdict: "heard",
    withinMs: 200,
  },
];

for (const { name, behaviors, verdict, withinMs } of CASES) {
  test(`suspicion check: ${name}`, async (t) => {
    const result = await runCheck(behaviors);
    t.is(result.verdict, verdict);
    t.true(result.elapsedMs <= withinMs, String(result.elapsedMs));
  });
}

import test from "ava";
import { errAsync, ResultAsync } from "neverthrow";
import { ManualClock, sleep } from "../clock.ts";
import { silentLog } from "../logger.ts";
import type { Peers } from "../ports/peers.ts";
import { FakeStore } from "./_fake_store_test.ts";
import { Doubt, type Verdict } from "./doubt.ts";

/** How an instance answers: hears the holder or not, knows a later one, or is dead. */
type Answer = "hears" | "misses" | "later" | "dead";

const HOLDER = { name: "h", address: "h:1", cores: 1, boot: "h", fence: 3 };

interface Settled {
  readonly verdict: Verdict;
  readonly tookMs: number;
}

async function settle(answers: readonly Answer[]): Promise<Settled> {
  const clock = new ManualClock();
  const others = answers.map((_, index) => ({
    name: `m${index}`,
    address: `m${index}:1`,
    cores: 1,
  }));
  const peers = {
    call(peer: string, _call: unknown, { timeoutMs }: { timeoutMs: number }) {
      const answer = answers[Number(peer.slice(1))];
      const wait = (ms: number) =>
        ResultAsync.fromSafePromise(sleep(clock, ms));
      if (answer === "dead") {
        return wait(timeoutMs).andThen(() =>
          errAsync({ type: "peerSilent", message: "dead" })
        );
      }
      return wait(5).map(() => ({
        boot: peer,
        holds: false,
        fence: answer === "later" ? 4 : 3,
        hearsHolder: answer === "hears",
      }));
    },
  } as unknown as Peers;
  const doubt = new Doubt({
    cell: "cell/0",
    self: { name: "self", address: "self:1", cores: 1 },
    peers,
    store: new FakeStore(),
    clock,
    log: silentLog,
  });
  let tookMs = 0;
  const verdict = doubt.settle(HOLDER, others, { silenceMs: 500 })
    .then((one) => {
      tookMs = clock.monotonic();
      return one;
    });
  await clock.run(400);
  return { verdict: await verdict, tookMs };
}

const CASES: readonly {
  readonly name: string;
  readonly answers: readonly Answer[];
  readonly verdict: Verdict;
  readonly withinMs: number;
}[] = [
  {
    name: "most miss it, some are dead",
    answers: ["misses", "misses", "misses", "dead", "dead"],
    verdict: "silent",
    withinMs: 20,
  },
  {
    name: "most hear it, some are dead",
    answers: ["hears", "hears", "hears", "misses", "dead"],
    verdict: "heard",
    withinMs: 20,
  },
  {
    name: "one knows of a later holder",
    answers: ["later", "dead", "dead", "hears", "misses"],
    verdict: "replaced",
    withinMs: 20,
  },
  {
    name: "most are dead and the others miss it",
    answers: ["misses", "dead", "dead", "dead"],
    verdict: "silent",
    withinMs: 200,
  },
  {
    name: "most are dead and the others hear it",
    answers: ["hears", "dead", "dead", "dead"],
    verdict: "heard",
    withinMs: 200,
  },
];

for (const { name, answers, verdict, withinMs } of CASES) {
  test(`a doubt: ${name}`, async (t) => {
    const settled = await settle(answers);
    t.is(settled.verdict, verdict);
    t.true(settled.tookMs <= withinMs, String(settled.tookMs));
  });
}

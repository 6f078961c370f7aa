import test from "ava";
import { MemoryNetwork } from "../fakes/memory_peers.ts";
import { decode } from "../peers/handshake.ts";
import type { Peers } from "../ports/peers.ts";
import { Harness, testEntry, testQueue, testStep } from "./_fixtures_test.ts";
import { AdviceDispatcher } from "./advice_dispatcher.ts";
import { AdviceRelay } from "./advice_relay.ts";
import type { Cell } from "./cell.ts";
import { adviceRecoveryCall, adviceRelayCall } from "./protocol.ts";
import type { WorkerProcess } from "./verdicts.ts";

const JOB = "00000000000000aa";
/** A queue whose steps need advice. */
const ADVISED = testQueue({
  advice: { baseMs: 100, perWorkerMs: 10, ticketMs: 5_000 },
});

/** The process with which a worker of the harness begins. */
function processOf(id: string): WorkerProcess {
  return { id, processStartMs: 1 };
}

test("a new leader uses the tickets that other instances have cached", async (t) => {
  const harness = new Harness();
  harness.set = { ...harness.set, queues: [ADVISED] };
  const first = await harness.open();
  await harness.submit(first, [testStep()]);
  first.close();
  const bad = harness.addWorker("w1");
  const good = harness.addWorker("w2");
  const step = `${JOB}.0.0`;
  harness.cachedAdvice = [{
    step,
    bad: [processOf("w1")],
    good: [{ worker: processOf("w2"), ticket: "ticket", ageMs: 1_000 }],
  }];
  await harness.open();
  await harness.clock.run(300);
  t.is(bad.starts.length, 0);
  t.deepEqual(good.starts.map((order) => order.ticket), ["ticket"]);
  t.deepEqual(harness.adviceRequests, []);
});

test("the next leader requests advice about a step that no instance has cached", async (t) => {
  const harness = new Harness();
  harness.set = { ...harness.set, queues: [ADVISED] };
  const first = await harness.open();
  await harness.submit(first, [testStep()]);
  first.close();
  harness.addWorker("w1");
  await harness.open();
  await harness.clock.run(300);
  t.deepEqual([...new Set(harness.adviceRequests)], [`${JOB}.0.0`]);
});

test("an expired ticket is requested again", async (t) => {
  const harness = new Harness();
  harness.set = { ...harness.set, queues: [ADVISED] };
  const first = await harness.open();
  await harness.submit(first, [testStep()]);
  first.close();
  const worker = harness.addWorker("w1");
  harness.cachedAdvice = [{
    step: `${JOB}.0.0`,
    bad: [],
    good: [{ worker: processOf("w1"), ticket: "ticket", ageMs: 5_000 }],
  }];
  await harness.open();
  await harness.clock.run(300);
  t.is(worker.starts.length, 0);
  t.true(harness.adviceRequests.length > 0);
});

test("the next leader requests advice anew if cached advice can't be read", async (t) => {
  const harness = new Harness();
  harness.set = { ...harness.set, queues: [ADVISED] };
  const first = await harness.open();
  await harness.submit(first, [testStep()]);
  first.close();
  harness.addWorker("w1");
  await harness.open({
    recoverAdvice: () => Promise.reject(new Error("broken")),
  });
  await harness.clock.run(300);
  t.true(harness.adviceRequests.length > 0);
});

/**
 * Passes the messages of the advice calls on as an older build does, which
 * names no processes.
 */
function withoutProcesses(peers: Peers): Peers {
  return {
    call: (peer, call, options) =>
      peers.call(peer, call, {
        ...options,
        params: withoutProcessStarts(options.params),
      }),
    serve: (call, handler) =>
      peers.serve(call, async (params, from) =>
        withoutProcessStarts(
          await handler(withoutProcessStarts(params), from),
        )),
    notify: (peer, notice, params) => peers.notify(peer, notice, params),
    onNotification: (notice, handler) => peers.onNotification(notice, handler),
    onDisconnect: (handler) => peers.onDisconnect(handler),
  };
}

function withoutProcessStarts<T>(message: T): T {
  return JSON.parse(
    JSON.stringify(message),
    (key, value) => /ProcessStartsMs$/i.test(key) ? undefined : value,
  );
}

/**
 * A leader on instance `a` that requests advice through `b`, which caches it.
 * `allows`: whether a worker may run a step.
 */
class RelayingHarness extends Harness {
  /** Workers that each request to the service has named. */
  readonly asked: (readonly string[])[] = [];
  readonly #network = new MemoryNetwork(this.clock);
  readonly #allows: (worker: string) => boolean;

  constructor(
    allows: (worker: string) => boolean,
    { olderCache = false }: { readonly olderCache?: boolean } = {},
  ) {
    super();
    this.#allows = allows;
    this.set = { ...this.set, queues: [ADVISED] };
    this.#relay("b", { older: olderCache });
  }

  /** Opens a cell. `older`: its leader is of a build that names no processes. */
  openRelaying({ older = false } = {}): Promise<Cell> {
    const relay = this.#relay("a", { older });
    return this.open({
      adviceDispatcher: new AdviceDispatcher(
        (instance, request, options) => relay.send(instance, request, options),
        () => ["b"],
        { clock: this.clock, metrics: this.metrics },
      ),
      recoverAdvice: (steps) => relay.readCaches(steps),
    });
  }

  #relay(self: string, { older }: { readonly older: boolean }): AdviceRelay {
    const peers = this.#network.join(self);
    return new AdviceRelay({
      self,
      peers: older ? withoutProcesses(peers) : peers,
      reachable: () => ["b"],
      clock: this.clock,
      service: {
        requestAdvice: (_step, workers) => {
          this.asked.push(workers);
          const good = workers.filter((worker) => this.#allows(worker));
          const tickets = new Map(good.map((worker) => [worker, "ticket"]));
          return Promise.resolve({ type: "advised", tickets });
        },
      },
    });
  }
}

for (
  const [builds, older] of [
    ["", {}],
    [" with an older instance", { cache: true }],
    [" after a leader of an older build", { leader: true }],
  ] as const
) {
  test(`a verdict on a worker's former process does not outlive a change of leader${builds}`, async (t) => {
    let allowed = false;
    const { cache = false, leader = false } = {
      cache: false,
      leader: false,
      ...older,
    };
    const harness = new RelayingHarness(() => allowed, { olderCache: cache });
    const worker = harness.addWorker("w1");
    const first = await harness.openRelaying({ older: leader });
    await harness.submit(first, [testStep()]);
    await harness.clock.run(2_000);
    t.deepEqual(harness.asked, [["w1"]]);
    first.close();
    worker.restart(2);
    harness.entries = [testEntry("w1", { processStartMs: 2 })];
    allowed = true;
    const second = await harness.openRelaying();
    await harness.clock.run(5_000);
    t.is(second.state(JOB), "running");
    t.deepEqual(harness.asked, [["w1"], ["w1"]]);
  });
}

test("a verdict on a worker that has not restarted outlives a change of leader", async (t) => {
  const harness = new RelayingHarness(() => false);
  harness.addWorker("w1");
  const first = await harness.openRelaying();
  await harness.submit(first, [testStep()]);
  await harness.clock.run(2_000);
  first.close();
  await harness.openRelaying();
  await harness.clock.run(5_000);
  t.deepEqual(harness.asked, [["w1"]]);
});

test("the messages of an older build, which names no processes, are valid", (t) => {
  const request = { step: "a.0.0", workers: ["w1"], timeoutMs: 100 };
  t.deepEqual(decode(adviceRelayCall.params, request), request);
  const recovered = [{ step: "a.0.0", bad: ["w1"], good: [["w2", "t2", 5]] }];
  t.deepEqual<unknown, unknown>(
    decode(adviceRecoveryCall.result, recovered),
    recovered,
  );
});

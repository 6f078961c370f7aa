/**
 * Instances of one cell with in-memory links between them, for tests of
 * leadership.
 *
 * @module
 */
import { errAsync, okAsync } from "neverthrow";
import { ManualClock } from "../clock.ts";
import { silentLog } from "../logger.ts";
import type { Peers, RpcMethod } from "../ports/peers.ts";
import { FakeStore } from "./_fake_store_test.ts";
import type { Member } from "./leader_record.ts";
import { Leadership } from "./leadership.ts";
import { ActiveSet } from "./active_set.ts";

type Handler = (params: unknown, from: string) => unknown;

/** In-memory links between instances, which can be cut. */
class Network {
  /** Handlers of calls by instance and method. */
  readonly handlers = new Map<string, Map<string, Handler>>();
  /** Instances whose links are cut. */
  readonly cut = new Set<string>();
  /** Called before each call is carried out. */
  onCall: (method: string, from: string, to: string) => void = () => {};

  peersOf(self: string): Peers {
    const mine = new Map<string, Handler>();
    this.handlers.set(self, mine);
    return {
      call: <P, R>(
        peer: string,
        call: RpcMethod<P, R>,
        { params }: { readonly params: P },
      ) => {
        this.onCall(call.method, self, peer);
        const handler = this.handlers.get(peer)?.get(call.method);
        if (handler === undefined || this.cut.has(peer) || this.cut.has(self)) {
          return errAsync({ type: "peerSilent", message: "cut" } as const);
        }
        return okAsync(undefined).map(async () =>
          await handler(params, self) as R
        );
      },
      notify() {},
      serve: (call: { readonly method: string }, handler: Handler) => {
        mine.set(call.method, handler);
      },
      onNotification() {},
      onDisconnect() {},
    } as unknown as Peers;
  }
}

/** Instances of one cell, their store and the links between them. */
export class Instances {
  readonly clock = new ManualClock();
  readonly store = new FakeStore();
  readonly network = new Network();
  /** Names of the instances that lead the cell by their own view. */
  readonly leaders = new Set<string>();
  /** Waiting jobs as every leader counts them once it has read them back. */
  waiting: ReadonlyMap<string, number> = new Map([["receipts", 2]]);
  /** Names of the instances that cannot read the jobs back. */
  readonly unrecovered = new Set<string>();
  /** Fencing tokens of all terms, in order. */
  readonly fences: number[] = [];

  start(name: string, { boot = name, cores = 1 } = {}): Leadership {
    const self: Member = { name, address: `${name}:1`, cores };
    const { clock, store } = this;
    const set = new ActiveSet({ clock, log: silentLog });
    const leadership = new Leadership({
      cell: "cell/0",
      self,
      boot,
      store,
      reachesStore: () => true,
      peers: this.network.peersOf(name),
      link() {},
      set,
      clock,
      log: silentLog,
      random: () => 0.5,
      listener: {
        termStarted: ({ fence }) => {
          this.leaders.add(name);
          this.fences.push(fence);
        },
        termEnded: () => void this.leaders.delete(name),
        waitingJobs: () =>
          this.unrecovered.has(name) ? undefined : this.waiting,
      },
    });
    void leadership.run();
    return leadership;
  }
}

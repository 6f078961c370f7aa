/**
 * One instance: an entry for clients, a lane to the advice service, and the
 * holder of the cell when it is its turn.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Metrics } from "../metrics.ts";
import { TcpPeers } from "../peers/tcp_peers.ts";
import type { Instance } from "../types.ts";
import { AdviceCarrier } from "./advice_carrier.ts";
import { AdviceDesk } from "./advice_desk.ts";
import { Cell } from "./cell.ts";
import type { Hold, Member } from "./cell_record.ts";
import { Gateway } from "./gateway.ts";
import { Leadership } from "./leadership.ts";
import type {
  AdviceService,
  CellStore,
  PlatformDirectory,
  WorkerOrders,
} from "./ports.ts";
import { OperatorWatch } from "./operator_watch.ts";
import { setCall, storeCall } from "./protocol.ts";
import { RelayedStore, serveStore } from "./relayed_store.ts";
import { SetFetch } from "./set_fetch.ts";
import { SetInForce } from "./set_in_force.ts";
import type { ClusterSet } from "./types.ts";
import { ZoneEvacuations } from "./zone_evacuations.ts";

/** The one cell of today's sizes. */
const CELL = "cell/0";
/** Longest wait for the set of another instance, milliseconds: half a megabyte over a slow link. */
const SET_TIMEOUT_MS = 1_500;
/** Longest wait for the last writes before the cell is handed over, milliseconds: nothing is started meanwhile. */
const SETTLE_MS = 300;
/** A recovery that failed is tried again after this, milliseconds. */
const RECOVER_AGAIN_MS = 200;
/** What an empty deployment has in force. */
const EMPTY_SET: ClusterSet = {
  version: 0,
  queues: [],
  teams: [],
  maxBodyBytes: 0,
};

/** What an instance needs. */
export interface NodeOptions {
  readonly self: Member;
  readonly zone: string;
  readonly boot: string;
  /** Secret that instances prove to one another. */
  readonly peerKey: string;
  /** The store as this process reaches it. */
  readonly store: CellStore;
  /** The directory over a store. */
  readonly directory: (store: CellStore) => PlatformDirectory;
  readonly orders: WorkerOrders;
  readonly advice: AdviceService;
  readonly maxLeaseMs: number;
  readonly retentionMs: number;
  /** Time after which nothing starts in an evacuated zone, milliseconds; `undefined` for no bound. */
  readonly evacuateMs: number | undefined;
  readonly clock: Clock;
  readonly random: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** An instance of the cell. */
export class Node {
  readonly gateway: Gateway;
  readonly set: SetInForce;
  readonly store: RelayedStore;
  readonly #options: NodeOptions;
  readonly #peers: TcpPeers;
  readonly #directory: PlatformDirectory;
  readonly #evacuations: ZoneEvacuations;
  readonly #leadership: Leadership;
  readonly #carrier: AdviceCarrier;
  readonly #desk: AdviceDesk;
  #cell: Cell | undefined;
  #recovering: Cell | undefined;
  #leaving = false;

  constructor(options: NodeOptions) {
    const { self, clock, log, metrics } = options;
    this.#options = options;
    this.#peers = new TcpPeers({
      self: instanceOf(self, options.zone),
      listen: self.address,
      key: options.peerKey,
      clock,
      log,
    });
    this.store = new RelayedStore({
      direct: options.store,
      peers: this.#peers,
      relays: () => this.#leadership.relays(),
      clock,
      log,
    });
    this.#directory = options.directory(this.store);
    this.set = new SetInForce({ clock, log });
    const { evacuateMs } = options;
    this.#evacuations = new ZoneEvacuations({ clock, log, evacuateMs });
    metrics.gauge("zones_evacuated", () => this.#evacuations.zones.length);
    this.#leadership = new Leadership({
      cell: CELL,
      self,
      boot: options.boot,
      store: this.store,
      reachesStore: () => this.store.reached,
      peers: this.#peers,
      link: (members) =>
        this.#peers.setMembers(
          members.map((member) => instanceOf(member, options.zone)),
        ),
      set: this.set,
      clock,
      log,
      random: options.random,
      listener: {
        gained: (hold) => this.#gained(hold),
        lost: () => this.#lost(),
        waiting: () => [...(this.#cell?.waiting() ?? [])],
      },
    });
    const fetches = new SetFetch({
      set: this.set,
      fetch: (instance) => this.#fetchSet(instance),
      clock,
      log,
    });
    this.#leadership.onSetWanted = (peer, version) =>
      void fetches.wanted(peer, version);
    this.#carrier = new AdviceCarrier({
      self: self.name,
      service: options.advice,
      peers: this.#peers,
      reachable: () => this.#leadership.reachable(),
      clock,
    });
    this.#desk = new AdviceDesk(
      (instance, question, call) => this.#carrier.ask(instance, question, call),
      () => [...this.#leadership.reachable(), self.name].sort(),
      { clock, metrics },
    );
    this.gateway = new Gateway({
      peers: this.#peers,
      leadership: this.#leadership,
      cell: () => this.#cell,
      set: this.set,
      clock,
      metrics,
    });
    this.#serve();
  }

  /** Starts to take part; resolves once peers can connect. */
  async start(): Promise<void> {
    await this.#peers.listening();
    const { clock, log } = this.#options;
    const operators = new OperatorWatch({
      directory: this.#directory,
      set: this.set,
      evacuations: this.#evacuations,
      clock,
      log,
    });
    void operators.follow();
    void this.#leadership.run();
  }

  /** Whether clients should come here. */
  get ready(): boolean {
    return !this.#leaving && this.gateway.ready;
  }

  /** Hands the cell to another instance; it serves clients until that has it. */
  async leave(): Promise<void> {
    const cell = this.#cell;
    this.#leaving = true;
    await cell?.settle(SETTLE_MS);
    const taken = await this.#leadership.yield();
    if (!taken) cell?.resume();
  }

  /** Ends the links to other instances. */
  close(): void {
    this.#cell?.close();
    this.#peers.close();
  }

  #serve(): void {
    this.#peers.serve(
      storeCall,
      (request) => serveStore(this.#options.store, request),
    );
    this.#peers.serve(setCall, () => {
      const set = this.set.set;
      return set === undefined ? null : {
        ...set,
        queues: [...set.queues],
        teams: set.teams.map((team) => ({ ...team, keys: [...team.keys] })),
      };
    });
  }

  async #fetchSet(peer: string): Promise<ClusterSet | undefined> {
    const answer = await this.#peers.call(peer, setCall, {
      params: {},
      timeoutMs: SET_TIMEOUT_MS,
    });
    return answer.unwrapOr(null) ?? undefined;
  }

  #gained(hold: Hold): void {
    const { orders, clock, log, metrics, maxLeaseMs, retentionMs } =
      this.#options;
    const cell = new Cell({
      name: CELL,
      fence: hold.fence,
      revision: hold.revision,
      store: this.store,
      directory: this.#directory,
      orders,
      desk: this.#desk,
      recall: (steps) => this.#carrier.recall(steps),
      clock,
      log,
      metrics,
      set: () => this.set.set ?? EMPTY_SET,
      evacuations: this.#evacuations,
      maxLeaseMs,
      retentionMs,
      holds: () => this.#leadership.holds(),
      deposed: (why) => this.#leadership.deposed(why),
      confirmed: (sentMs) => this.#leadership.confirmed(sentMs),
    });
    this.#recovering = cell;
    metrics.count("takeovers");
    void this.#recover(cell);
  }

  async #recover(cell: Cell): Promise<void> {
    while (this.#recovering === cell) {
      const result = await cell.recover();
      if (this.#recovering !== cell) return;
      if (result.isOk()) {
        this.#cell = cell;
        return;
      }
      this.#options.log.warn("cell.unrecovered", {
        failure: result.error.type,
        reason: result.error.message,
      });
      await new Promise<void>((resolve) =>
        this.#options.clock.after(RECOVER_AGAIN_MS, resolve)
      );
    }
  }

  #lost(): void {
    this.#recovering?.close();
    this.#recovering = undefined;
    this.#cell = undefined;
  }
}

function instanceOf(member: Member, zone: string): Instance {
  return {
    id: member.name,
    peerAddress: member.address,
    callerAddress: "",
    zone,
  };
}

/**
 * One instance: it accepts calls of clients, is a channel to the advice
 * service, and leads the cell while it is elected.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../logger.ts";
import type { Metrics } from "../metrics.ts";
import { TcpPeers } from "../peers/tcp_peers.ts";
import type { Instance } from "../types.ts";
import { AdviceRelay } from "./advice_relay.ts";
import { AdviceDispatcher } from "./advice_dispatcher.ts";
import { Cell } from "./cell.ts";
import type { LeaderTerm, Member } from "./leader_record.ts";
import { Gateway } from "./gateway.ts";
import { Leadership } from "./leadership.ts";
import type {
  AdviceService,
  CellStore,
  PlatformDirectory,
  WorkerClient,
} from "./ports.ts";
import { OperatorWatch } from "./operator_watch.ts";
import { operatorSetCall, storeRelayCall } from "./protocol.ts";
import { RelayedStore, serveStoreRelay } from "./relayed_store.ts";
import { SetFetcher } from "./set_fetcher.ts";
import { ActiveSet } from "./active_set.ts";
import type { ClusterSet } from "./types.ts";
import { ZoneEvacuations } from "./zone_evacuations.ts";

/** Name of the cell; a cluster has only one at present. */
const CELL = "cell/0";
/** Timeout of fetching the operator set from another instance, milliseconds: half a megabyte over a slow connection. */
const SET_FETCH_TIMEOUT_MS = 1_500;
/** Timeout of the last writes before leadership is transferred, milliseconds; no task is started in this time. */
const SETTLE_TIMEOUT_MS = 300;
/** Delay before a failed recovery is retried, milliseconds. */
const RECOVERY_RETRY_DELAY_MS = 200;
/** Dependencies and settings of a {@linkcode Node}. */
export interface NodeOptions {
  readonly self: Member;
  readonly zone: string;
  /** Identifier of this process start, different after each restart. */
  readonly boot: string;
  /** Shared secret with which instances authenticate each other. */
  readonly peerKey: string;
  /** The store, called directly. */
  readonly store: CellStore;
  /** Creates the platform directory on top of a store. */
  readonly directory: (store: CellStore) => PlatformDirectory;
  readonly workerClient: WorkerClient;
  readonly advice: AdviceService;
  readonly maxLeaseMs: number;
  readonly retentionMs: number;
  /** Time within which all accepted work must be under way once no more arrives, milliseconds. */
  readonly settleMs: number;
  /** Time from the evacuation of a zone until no task is started there any more, milliseconds; `undefined` for no limit. */
  readonly evacuateMs: number | undefined;
  readonly clock: Clock;
  readonly random: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** An instance of the cell, with all its components. */
export class Node {
  readonly gateway: Gateway;
  readonly set: ActiveSet;
  readonly store: RelayedStore;
  readonly #options: NodeOptions;
  readonly #peers: TcpPeers;
  readonly #directory: PlatformDirectory;
  readonly #evacuations: ZoneEvacuations;
  readonly #leadership: Leadership;
  readonly #adviceRelay: AdviceRelay;
  readonly #adviceDispatcher: AdviceDispatcher;
  /** The cell, while this instance leads it and has recovered its state. */
  #cell: Cell | undefined;
  /** The cell of the current term, from the start of its recovery on. */
  #recoveringCell: Cell | undefined;
  #isLeaving = false;

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
      relays: () => this.#leadership.storeRelays(),
      clock,
      log,
    });
    this.#directory = options.directory(this.store);
    this.set = new ActiveSet({ clock, log });
    const { evacuateMs } = options;
    this.#evacuations = new ZoneEvacuations({ clock, log, evacuateMs });
    metrics.gauge("zones_evacuated", () => this.#evacuations.zones.length);
    this.#leadership = new Leadership({
      cell: CELL,
      self,
      boot: options.boot,
      store: this.store,
      reachesStore: () => this.store.isReachable,
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
        termStarted: (term) => this.#startTerm(term),
        termEnded: () => this.#endTerm(),
        waitingJobs: () => this.#cell?.pendingByQueue(),
      },
    });
    const setFetches = new SetFetcher({
      set: this.set,
      fetch: (instance) => this.#fetchSet(instance),
      clock,
      log,
    });
    this.#leadership.onNewerSet = (peer, version) =>
      void setFetches.ensureVersion(peer, version);
    this.#adviceRelay = new AdviceRelay({
      self: self.name,
      service: options.advice,
      peers: this.#peers,
      reachable: () => this.#leadership.reachableInstances(),
      clock,
    });
    this.#adviceDispatcher = new AdviceDispatcher(
      (instance, request, call) =>
        this.#adviceRelay.send(instance, request, call),
      () => [...this.#leadership.reachableInstances(), self.name].sort(),
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
    this.#serveCalls();
  }

  /** Starts taking part in the cell; resolves once peers can connect. */
  async start(): Promise<void> {
    await this.#peers.start();
    const { clock, log } = this.#options;
    const operators = new OperatorWatch({
      directory: this.#directory,
      set: this.set,
      evacuations: this.#evacuations,
      clock,
      log,
    });
    void operators.run();
    void this.#leadership.run();
  }

  /** Whether clients should send calls to this instance. */
  get ready(): boolean {
    return !this.#isLeaving && this.gateway.ready;
  }

  /**
   * Transfers leadership before the process exits. This instance accepts
   * submissions until another one leads; if none takes over, it resumes starting
   * tasks.
   */
  async leave(): Promise<void> {
    const cell = this.#cell;
    this.#isLeaving = true;
    await cell?.quiesce(SETTLE_TIMEOUT_MS);
    const isTransferred = await this.#leadership.transfer();
    if (!isTransferred) cell?.resume();
  }

  /** Stops the scheduler and closes the connections to other instances. */
  close(): void {
    this.#cell?.close();
    this.#peers.close();
  }

  #serveCalls(): void {
    this.#peers.serve(
      storeRelayCall,
      (request) => serveStoreRelay(this.#options.store, request),
    );
    this.#peers.serve(operatorSetCall, () => {
      const set = this.set.set;
      return set === undefined ? null : {
        ...set,
        queues: [...set.queues],
        teams: set.teams.map((team) => ({ ...team, keys: [...team.keys] })),
      };
    });
  }

  async #fetchSet(peer: string): Promise<ClusterSet | undefined> {
    const reply = await this.#peers.call(peer, operatorSetCall, {
      params: {},
      timeoutMs: SET_FETCH_TIMEOUT_MS,
    });
    return reply.unwrapOr(null) ?? undefined;
  }

  #startTerm(term: LeaderTerm): void {
    const {
      workerClient,
      clock,
      log,
      metrics,
      maxLeaseMs,
      retentionMs,
      settleMs,
    } = this.#options;
    const cell = new Cell({
      name: CELL,
      fence: term.fence,
      revision: term.revision,
      store: this.store,
      directory: this.#directory,
      workerClient,
      adviceDispatcher: this.#adviceDispatcher,
      recoverAdvice: (steps) => this.#adviceRelay.readCaches(steps),
      clock,
      log,
      metrics,
      set: () => this.set.set,
      evacuations: this.#evacuations,
      maxLeaseMs,
      retentionMs,
      settleMs,
      isLeading: () => this.#leadership.isLeading(),
      stepDown: (reason) => this.#leadership.stepDown(reason),
      onLeadershipConfirmed: (sentMs) =>
        this.#leadership.recordConfirmation(sentMs),
    });
    this.#recoveringCell = cell;
    metrics.count("takeovers");
    void this.#recover(cell);
  }

  async #recover(cell: Cell): Promise<void> {
    while (this.#recoveringCell === cell) {
      const result = await cell.recover();
      if (this.#recoveringCell !== cell) return;
      if (result.isOk()) {
        this.#cell = cell;
        return;
      }
      this.#options.log.warn("cell.unrecovered", {
        failure: result.error.type,
        reason: result.error.message,
      });
      await new Promise<void>((resolve) =>
        this.#options.clock.after(RECOVERY_RETRY_DELAY_MS, resolve)
      );
    }
  }

  #endTerm(): void {
    this.#recoveringCell?.close();
    this.#recoveringCell = undefined;
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

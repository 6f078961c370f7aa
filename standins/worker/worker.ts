/**
 * One worker: its service, its agent, its faults and its record.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { Endpoint, pathOf, readJson, sendJson } from "../common/endpoint.ts";
import { Agent } from "./agent.ts";
import { AGENT_PREFIX, AgentRoutes } from "./agent_routes.ts";
import { Control, Faults } from "./faults.ts";
import { Record } from "./record.ts";
import { Service } from "./service.ts";
import { type Resources, Usage } from "./usage.ts";

/** Settings of a worker. */
export interface WorkerOptions {
  readonly id: string;
  readonly port?: number;
  readonly zone?: string;
  readonly rack?: string;
  readonly capacity?: Resources;
  readonly connections?: number;
  /** What one request takes. */
  readonly requestResources?: Resources;
  /** One way, milliseconds. */
  readonly latencyMs?: number;
  /** Time of work that does not say how long it takes. */
  readonly sampleMs?: () => number;
  readonly reportLagMs?: number;
}

/** A worker of Tsagaan Khuudas. */
const DEFAULT_CAPACITY: Resources = {
  cpuMillis: 64_000,
  memoryMib: 256 * 1024,
  accelerators: 0,
  slots: 8,
};
const DEFAULT_CONNECTIONS = 60;
const ONE_SLOT: Resources = {
  cpuMillis: 0,
  memoryMib: 0,
  accelerators: 0,
  slots: 1,
};
const CONTROL_PATH = "/control";

/** A worker in this process. */
export class StandinWorker {
  readonly #options: WorkerOptions;
  readonly #faults = new Faults();
  readonly #record = new Record();
  readonly #usage: Usage;
  readonly #agent: Agent;
  readonly #service: Service;
  readonly #routes: AgentRoutes;
  readonly #endpoint: Endpoint;
  readonly #silent = new WeakSet<Socket>();
  #ignored = 0;

  constructor(options: WorkerOptions) {
    this.#options = options;
    this.#usage = new Usage({
      ...(options.capacity ?? DEFAULT_CAPACITY),
      connections: options.connections ?? DEFAULT_CONNECTIONS,
    });
    const shared = {
      record: this.#record,
      usage: this.#usage,
      faults: this.#faults,
      sampleMs: options.sampleMs ?? (() => 0),
    };
    this.#agent = new Agent(shared);
    this.#agent.lag(options.reportLagMs ?? 0);
    this.#service = new Service({
      ...shared,
      worker: options.id,
      resources: options.requestResources ?? ONE_SLOT,
      isSilent: (request) => this.#silent.has(request.socket),
    });
    this.#routes = new AgentRoutes({
      agent: this.#agent,
      service: this.#service,
      faults: this.#faults,
    });
    this.#endpoint = new Endpoint(this.#serve.bind(this), {
      port: options.port,
      connected: (socket) => this.#connected(socket),
    });
  }

  /** Name of the worker. */
  get id(): string {
    return this.#options.id;
  }

  /** `host:port`. */
  get address(): string {
    return this.#endpoint.address;
  }

  /** The worker as the list gives it. */
  describe(): unknown {
    return {
      id: this.id,
      address: this.address,
      zone: this.#options.zone ?? "zone-1",
      rack: this.#options.rack ?? "rack-1",
      capacity: this.#options.capacity ?? DEFAULT_CAPACITY,
      connections: this.#options.connections ?? DEFAULT_CONNECTIONS,
      state: "live",
    };
  }

  /** Starts to accept connections. */
  async listen(): Promise<void> {
    await this.#endpoint.listen();
  }

  /** Stops for good; running tasks end. */
  async close(): Promise<void> {
    this.#agent.close();
    await this.#endpoint.close();
  }

  /** Brings faults about, or ends them. */
  async control(control: Control): Promise<void> {
    this.#faults.set(control);
    if (control.silent) this.#silenceOpenConnections();
    if (control.reportLagMs !== undefined) {
      this.#agent.lag(control.reportLagMs);
    }
    if (control.refuse === true) this.#endpoint.refuse();
    if (control.refuse === false) await this.#endpoint.listen();
  }

  /** Requests that have come in. */
  get requestCount(): number {
    return this.#record.requestCount;
  }

  /** What really happened, as a JSON object. */
  report(): unknown {
    return {
      worker: this.id,
      ...this.#record.report(),
      usage: this.#usage.report(),
      ignoredOnSilentConnections: this.#ignored,
    };
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = pathOf(request);
    if (path.startsWith(CONTROL_PATH)) return this.#control(request, response);
    if (this.#silent.has(request.socket)) return this.#ignore();
    await this.#travel();
    if (path.startsWith(AGENT_PREFIX)) {
      await this.#routes.answer(request, response);
    } else {
      await this.#service.answer(request, response);
    }
  }

  async #control(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === "GET") {
      return sendJson(response, 200, this.report());
    }
    const control = Control.decode(await readJson(request));
    if (control._tag === "Left") return sendJson(response, 400, {});
    sendJson(response, 200, {});
    await this.control(control.right);
  }

  async #travel(): Promise<void> {
    const latencyMs = this.#options.latencyMs ?? 0;
    if (latencyMs > 0) await delay(2 * latencyMs);
  }

  #ignore(): void {
    this.#ignored += 1;
  }

  #connected(socket: Socket): void {
    this.#usage.take({ connections: 1 });
    socket.once("close", () => this.#usage.release({ connections: 1 }));
    if (this.#faults.silentNew) this.#silence(socket);
  }

  #silenceOpenConnections(): void {
    for (const socket of this.#endpoint.sockets) this.#silence(socket);
  }

  #silence(socket: Socket): void {
    this.#silent.add(socket);
    socket.setTimeout(0);
  }
}

/**
 * Worker stand-in: HTTP service, task agent, simulated faults and activity record
 * behind one endpoint.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import {
  Endpoint,
  readJson,
  requestPath,
  sendJson,
} from "../common/endpoint.ts";
import { Agent } from "./agent.ts";
import { AGENT_PREFIX, AgentRoutes } from "./agent_routes.ts";
import { Control, Faults } from "./faults.ts";
import { ActivityRecord } from "./record.ts";
import { Service } from "./service.ts";
import { type Resources, Usage } from "./usage.ts";

/** Options of a worker. */
export interface WorkerOptions {
  readonly id: string;
  readonly port?: number;
  readonly zone?: string;
  readonly rack?: string;
  readonly capacity?: Resources;
  readonly connections?: number;
  /** Resources that each request uses. */
  readonly requestResources?: Resources;
  /** One-way network latency, milliseconds. */
  readonly latencyMs?: number;
  /** Draws the duration, milliseconds, of a request or task that does not state its own. */
  readonly sampleMs?: () => number;
  /** Interval between the snapshots that reports are made from, milliseconds. */
  readonly reportLagMs?: number;
}

/** Capacity of a worker in the example deployment, Tsagaan Khuudas. */
const DEFAULT_CAPACITY: Resources = {
  cpuMillis: 64_000,
  memoryMib: 256 * 1024,
  accelerators: 0,
  slots: 8,
};
const DEFAULT_CONNECTIONS = 60;
const DEFAULT_REQUEST_RESOURCES: Resources = {
  cpuMillis: 0,
  memoryMib: 0,
  accelerators: 0,
  slots: 1,
};
const CONTROL_PATH = "/control";

/** Worker that runs in this process. */
export class StandinWorker {
  readonly #options: WorkerOptions;
  readonly #faults = new Faults();
  readonly #record = new ActivityRecord();
  readonly #usage: Usage;
  readonly #agent: Agent;
  readonly #service: Service;
  readonly #routes: AgentRoutes;
  readonly #endpoint: Endpoint;
  readonly #silentSockets = new WeakSet<Socket>();
  #ignoredRequests = 0;

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
    this.#agent.setReportLag(options.reportLagMs ?? 0);
    this.#service = new Service({
      ...shared,
      worker: options.id,
      resources: options.requestResources ?? DEFAULT_REQUEST_RESOURCES,
      isSilent: (request) => this.#silentSockets.has(request.socket),
    });
    this.#routes = new AgentRoutes({
      agent: this.#agent,
      service: this.#service,
      faults: this.#faults,
    });
    this.#endpoint = new Endpoint(this.#serve.bind(this), {
      port: options.port,
      onConnection: (socket) => this.#trackConnection(socket),
    });
  }

  /** Id of the worker. */
  get id(): string {
    return this.#options.id;
  }

  /** Address as `host:port`. */
  get address(): string {
    return this.#endpoint.address;
  }

  /** Entry of the worker for the platform's list. */
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

  /** Starts the endpoint. */
  async listen(): Promise<void> {
    await this.#endpoint.listen();
  }

  /** Ends running tasks and closes the endpoint. */
  async close(): Promise<void> {
    this.#agent.close();
    await this.#endpoint.close();
  }

  /** Starts or ends faults. */
  async control(control: Control): Promise<void> {
    this.#faults.set(control);
    if (control.silent) this.#silenceOpenConnections();
    if (control.reportLagMs !== undefined) {
      this.#agent.setReportLag(control.reportLagMs);
    }
    if (control.refuse === true) this.#endpoint.refuse();
    if (control.refuse === false) await this.#endpoint.listen();
  }

  /** Number of requests received. */
  get requestCount(): number {
    return this.#record.requestCount;
  }

  /** Recorded activity and resource usage as a JSON object. */
  report(): unknown {
    return {
      worker: this.id,
      ...this.#record.report(),
      usage: this.#usage.report(),
      ignoredOnSilentConnections: this.#ignoredRequests,
    };
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = requestPath(request);
    if (path.startsWith(CONTROL_PATH)) return this.#control(request, response);
    if (this.#silentSockets.has(request.socket)) return this.#countIgnored();
    await this.#simulateLatency();
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

  async #simulateLatency(): Promise<void> {
    const latencyMs = this.#options.latencyMs ?? 0;
    if (latencyMs > 0) await delay(2 * latencyMs);
  }

  #countIgnored(): void {
    this.#ignoredRequests += 1;
  }

  #trackConnection(socket: Socket): void {
    this.#usage.allocate({ connections: 1 });
    socket.once("close", () => this.#usage.release({ connections: 1 }));
    if (this.#faults.silentNew) this.#silence(socket);
  }

  #silenceOpenConnections(): void {
    for (const socket of this.#endpoint.sockets) this.#silence(socket);
  }

  #silence(socket: Socket): void {
    this.#silentSockets.add(socket);
    socket.setTimeout(0);
  }
}

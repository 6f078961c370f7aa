/**
 * HTTP service with the platform's list of workers and instances. Readers get the
 * list as it was a configurable time ago.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import * as t from "io-ts";
import {
  Endpoint,
  type Outage,
  readJson,
  requestPath,
  sendJson,
} from "../common/endpoint.ts";
import { Inventory, InventoryChange } from "./inventory.ts";

/** Options of the list service. */
export interface ListOptions {
  readonly port?: number;
  readonly controlPort?: number;
  /** Age of the list that readers get, milliseconds. */
  readonly lagMs?: number;
}

/** Body of POST /control; absent fields keep their value. */
export const Control = t.intersection([
  InventoryChange,
  t.partial({
    lagMs: t.number,
    outage: t.union([t.literal("refuse"), t.literal("hang"), t.literal(false)]),
    /** Reads are answered with JSON that is not a list. */
    garbage: t.boolean,
  }),
]);
/** Body of POST /control. */
export type Control = t.TypeOf<typeof Control>;

const LIST_PATH = "/v1/instances";

/** List service that runs in this process. */
export class StandinList {
  readonly #inventory = new Inventory();
  readonly #endpoint: Endpoint;
  readonly #control: Endpoint;
  #lagMs: number;
  #outage: Outage = false;
  #garbage = false;
  #reads = 0;

  constructor(options: ListOptions = {}) {
    this.#lagMs = options.lagMs ?? 0;
    this.#endpoint = new Endpoint(this.#serve.bind(this), {
      port: options.port,
    });
    this.#control = new Endpoint(this.#serveControl.bind(this), {
      port: options.controlPort,
    });
  }

  /** Address of the list as `host:port`. */
  get address(): string {
    return this.#endpoint.address;
  }

  /** Address of a second endpoint, `host:port`, that answers /control during an outage too. */
  get controlAddress(): string {
    return this.#control.address;
  }

  /** Starts both endpoints. */
  async listen(): Promise<void> {
    await this.#endpoint.listen();
    await this.#control.listen();
  }

  /** Closes both endpoints and their connections. */
  async close(): Promise<void> {
    await this.#endpoint.close();
    await this.#control.close();
  }

  /** Changes the inventory, the lag or the faults; the connection `from` stays open. */
  async control(control: Control, from?: Socket): Promise<void> {
    this.#inventory.change(control);
    this.#lagMs = control.lagMs ?? this.#lagMs;
    this.#garbage = control.garbage ?? this.#garbage;
    this.#outage = control.outage ?? this.#outage;
    await this.#endpoint.setOutage(control.outage, from);
  }

  #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): void | Promise<void> {
    const path = requestPath(request);
    if (path.startsWith("/control")) {
      return this.#serveControl(request, response);
    }
    if (this.#outage !== false) return;
    if (path !== LIST_PATH) return sendJson(response, 404, {});
    this.#reads += 1;
    if (this.#garbage) return sendJson(response, 200, { workers: "none" });
    sendJson(response, 200, this.#inventory.asOf(this.#lagMs));
  }

  async #serveControl(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === "GET") {
      const truth = this.#inventory.asOf(0);
      return sendJson(response, 200, { reads: this.#reads, truth });
    }
    const control = Control.decode(await readJson(request));
    if (control._tag === "Left") return sendJson(response, 400, {});
    await this.control(control.right, request.socket);
    sendJson(response, 200, {});
  }
}

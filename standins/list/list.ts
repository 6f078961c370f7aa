/**
 * The lagging list as an HTTP service.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import * as t from "io-ts";
import {
  Endpoint,
  type Outage,
  pathOf,
  readJson,
  sendJson,
} from "../common/endpoint.ts";
import { Truth, TruthChange } from "./truth.ts";

/** Settings of the list. */
export interface ListOptions {
  readonly port?: number;
  readonly controlPort?: number;
  /** Age of what readers see. */
  readonly lagMs?: number;
}

/** Body of POST /control; what is left out stays as it is. */
export const Control = t.intersection([
  TruthChange,
  t.partial({
    lagMs: t.number,
    outage: t.union([t.literal("refuse"), t.literal("hang"), t.literal(false)]),
    /** Answers with something that is no list. */
    garbage: t.boolean,
  }),
]);
/** Body of POST /control. */
export type Control = t.TypeOf<typeof Control>;

const LIST_PATH = "/v1/instances";

/** The list in this process. */
export class StandinList {
  readonly #truth = new Truth();
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

  /** `host:port` of the list. */
  get address(): string {
    return this.#endpoint.address;
  }

  /** `host:port` that answers /control during an outage too. */
  get controlAddress(): string {
    return this.#control.address;
  }

  /** Starts to accept connections. */
  async listen(): Promise<void> {
    await this.#endpoint.listen();
    await this.#control.listen();
  }

  /** Stops for good. */
  async close(): Promise<void> {
    await this.#endpoint.close();
    await this.#control.close();
  }

  /** Changes the truth, the lag or the faults; the connection of the caller is kept. */
  async control(control: Control, from?: Socket): Promise<void> {
    this.#truth.change(control);
    this.#lagMs = control.lagMs ?? this.#lagMs;
    this.#garbage = control.garbage ?? this.#garbage;
    this.#outage = control.outage ?? this.#outage;
    await this.#endpoint.setOutage(control.outage, from);
  }

  #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): void | Promise<void> {
    const path = pathOf(request);
    if (path.startsWith("/control")) {
      return this.#serveControl(request, response);
    }
    if (this.#outage !== false) return;
    if (path !== LIST_PATH) return sendJson(response, 404, {});
    this.#reads += 1;
    if (this.#garbage) return sendJson(response, 200, { workers: "none" });
    sendJson(response, 200, this.#truth.asOf(this.#lagMs));
  }

  async #serveControl(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === "GET") {
      const truth = this.#truth.asOf(0);
      return sendJson(response, 200, { reads: this.#reads, truth });
    }
    const control = Control.decode(await readJson(request));
    if (control._tag === "Left") return sendJson(response, 400, {});
    await this.control(control.right, request.socket);
    sendJson(response, 200, {});
  }
}

/**
 * HTTP routes of the platform's agent.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as t from "io-ts";
import { readJson, requestPath, sendJson } from "../common/endpoint.ts";
import type { Agent, CallResult } from "./agent.ts";
import type { Faults } from "./faults.ts";
import { sendLeavingRefusal, type Service } from "./service.ts";
import { StartRequest } from "./task.ts";

/** Path prefix of the agent's routes. */
export const AGENT_PREFIX = "/zp-agent/";

const RenewRequest = t.type({ fence: t.number, attempts: t.array(t.string) });
const StopRequest = t.type({ fence: t.number, checkpoint: t.boolean });
const ThrottleRequest = t.type({ fence: t.number, cpuMillis: t.number });
const ForgetRequest = t.type({ attempts: t.array(t.string) });

/** Dependencies of the routes. */
export interface AgentRoutesOptions {
  readonly agent: Agent;
  readonly service: Service;
  readonly faults: Faults;
}

/** Decodes requests, calls the agent and encodes the results. */
export class AgentRoutes {
  readonly #agent: Agent;
  readonly #service: Service;
  readonly #faults: Faults;

  constructor(options: AgentRoutesOptions) {
    this.#agent = options.agent;
    this.#service = options.service;
    this.#faults = options.faults;
  }

  /** Handles one request. */
  async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readJson(request);
    if (this.#faults.garbage) return void response.end("<html>");
    const path = requestPath(request).slice(AGENT_PREFIX.length);
    const [version, noun, attempt, verb] = path.split("/");
    if (version !== "v1") return sendJson(response, 404, {});
    if (noun === "tasks" && attempt !== undefined) {
      const id = decodeURIComponent(attempt);
      return this.#serveTask(response, { id, verb: verb ?? "start", body });
    }
    return this.#serveCall(response, noun ?? "", body);
  }

  #serveCall(response: ServerResponse, noun: string, body: unknown): void {
    switch (noun) {
      case "renew":
        return this.#renew(response, body);
      case "forget":
        return this.#forget(response, body);
      case "report":
        return sendJson(response, 200, this.#report());
      default:
        return sendJson(response, 404, {});
    }
  }

  #serveTask(
    response: ServerResponse,
    call: {
      readonly id: string;
      readonly verb: string;
      readonly body: unknown;
    },
  ): void {
    const result = this.#callTask(call.id, call.verb, call.body);
    if (result === undefined) return sendJson(response, 400, {});
    sendResult(response, result);
  }

  #callTask(id: string, verb: string, body: unknown): CallResult | undefined {
    if (verb === "start" && StartRequest.is(body)) {
      return this.#agent.start(id, body);
    }
    if (verb === "stop" && StopRequest.is(body)) {
      return this.#agent.stop(id, body);
    }
    if (verb === "throttle" && ThrottleRequest.is(body)) {
      return this.#agent.throttle(id, body);
    }
    return undefined;
  }

  #renew(response: ServerResponse, body: unknown): void {
    if (!RenewRequest.is(body)) return sendJson(response, 400, {});
    const renewal = this.#agent.renew(body.fence, body.attempts);
    if (renewal.type !== "renewed") return sendResult(response, renewal);
    sendJson(response, 200, { missing: renewal.missing });
  }

  #forget(response: ServerResponse, body: unknown): void {
    if (!ForgetRequest.is(body)) return sendJson(response, 400, {});
    this.#agent.forget(body.attempts);
    sendJson(response, 200, {});
  }

  #report(): unknown {
    return {
      ...this.#agent.report(),
      leaving: this.#faults.leaving,
      requests: this.#service.running,
    };
  }
}

function sendResult(response: ServerResponse, result: CallResult): void {
  switch (result.type) {
    case "accepted":
      return sendJson(response, 200, {});
    case "fenced":
      return sendJson(response, 409, { fence: result.fence });
    case "leaving":
      return sendLeavingRefusal(response);
    case "cancelled":
      return sendJson(response, 410, {});
  }
}

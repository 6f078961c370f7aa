/**
 * HTTP routes of the platform's agent.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as t from "io-ts";
import { pathOf, readJson, sendJson } from "../common/endpoint.ts";
import type { Agent, Verdict } from "./agent.ts";
import type { Faults } from "./faults.ts";
import { refuseAsLeaving, type Service } from "./service.ts";
import { StartRequest } from "./task.ts";

/** Path under which the agent answers. */
export const AGENT_PREFIX = "/zp-agent/";

const RenewRequest = t.type({ fence: t.number, attempts: t.array(t.string) });
const StopRequest = t.type({ fence: t.number, checkpoint: t.boolean });
const ThrottleRequest = t.type({ fence: t.number, cpuMillis: t.number });
const ForgetRequest = t.type({ attempts: t.array(t.string) });

/** What the routes lead to. */
export interface AgentRoutesOptions {
  readonly agent: Agent;
  readonly service: Service;
  readonly faults: Faults;
}

/** Decodes requests for the agent and encodes its verdicts. */
export class AgentRoutes {
  readonly #agent: Agent;
  readonly #service: Service;
  readonly #faults: Faults;

  constructor(options: AgentRoutesOptions) {
    this.#agent = options.agent;
    this.#service = options.service;
    this.#faults = options.faults;
  }

  /** Answers one request. */
  async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readJson(request);
    if (this.#faults.garbage) return void response.end("<html>");
    const path = pathOf(request).slice(AGENT_PREFIX.length);
    const [version, noun, attempt, verb] = path.split("/");
    if (version !== "v1") return sendJson(response, 404, {});
    if (noun === "tasks" && attempt !== undefined) {
      const id = decodeURIComponent(attempt);
      return this.#task(response, { id, verb: verb ?? "start", body });
    }
    return this.#call(response, noun ?? "", body);
  }

  #call(response: ServerResponse, noun: string, body: unknown): void {
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

  #task(
    response: ServerResponse,
    call: {
      readonly id: string;
      readonly verb: string;
      readonly body: unknown;
    },
  ): void {
    const verdict = this.#verdict(call.id, call.verb, call.body);
    if (verdict === undefined) return sendJson(response, 400, {});
    sendVerdict(response, verdict);
  }

  #verdict(id: string, verb: string, body: unknown): Verdict | undefined {
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
    if (renewal.type !== "renewed") return sendVerdict(response, renewal);
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

function sendVerdict(response: ServerResponse, verdict: Verdict): void {
  switch (verdict.type) {
    case "accepted":
      return sendJson(response, 200, {});
    case "fenced":
      return sendJson(response, 409, { fence: verdict.fence });
    case "leaving":
      return refuseAsLeaving(response);
    case "cancelled":
      return sendJson(response, 410, {});
  }
}

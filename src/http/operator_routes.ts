/**
 * Routes for operators and for the balancer.
 *
 * @module
 */
import type { Instance } from "../daemon/instance.ts";
import { equalInConstantTime } from "../peers/handshake.ts";
import { sendJson } from "./answers.ts";
import { presentedKey } from "./caller_routes.ts";
import { explain } from "./explain.ts";
import type { Route, RouteCall } from "./routes.ts";
import { statusOf, workersOf } from "./status.ts";

/** What the routes need. */
export interface OperatorRoutesOptions {
  readonly instance: Instance;
  /** Secret that the tool presents. */
  readonly key: string;
}

/** Routes on which operators look at an instance, and the balancer at its health. */
export function operatorRoutes(
  options: OperatorRoutesOptions,
): readonly Route[] {
  const { instance } = options;
  return [
    {
      method: "GET",
      pattern: "/healthz",
      answer: ({ response }) => sendJson(response, 200, { alive: true }),
    },
    {
      method: "GET",
      pattern: "/readyz",
      answer: ({ response }) => {
        const ready = instance.ready();
        sendJson(response, ready ? 200 : 503, { ready });
      },
    },
    {
      method: "GET",
      pattern: "/metrics",
      answer: ({ response }) => {
        response.writeHead(200, { "content-type": "text/plain" });
        response.end(instance.metrics.render());
      },
    },
    guarded(options, "/v1/status", ({ response }) => {
      sendJson(response, 200, statusOf(instance));
    }),
    guarded(options, "/v1/workers", ({ response }) => {
      sendJson(response, 200, { workers: workersOf(instance) });
    }),
    guarded(options, "/v1/explain", async ({ response, url }) => {
      const answer = await explain(instance, url.searchParams);
      const status = answer.type === "unknown" ? 404 : 200;
      sendJson(response, status, answer);
    }),
  ];
}

function guarded(
  { key }: OperatorRoutesOptions,
  pattern: string,
  answer: (call: RouteCall) => Promise<void> | void,
): Route {
  return {
    method: "GET",
    pattern,
    answer: (call) => {
      const presented = presentedKey(call.message);
      if (presented !== undefined && equalInConstantTime(presented, key)) {
        return answer(call);
      }
      sendJson(call.response, 401, {
        type: "unknownKey",
        message: "send the operators' key as `Authorization: Bearer KEY`",
      });
    },
  };
}

/**
 * HTTP routes for operators and for the load balancer.
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

/** Dependencies of the routes. */
export interface OperatorRoutesOptions {
  readonly instance: Instance;
  /** The operators' key, which clients have to present. */
  readonly key: string;
}

/** Creates the routes: health checks for the load balancer, metrics, and status for operators. */
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
    operatorRoute(options, "/v1/status", ({ response }) => {
      sendJson(response, 200, statusOf(instance));
    }),
    operatorRoute(options, "/v1/workers", ({ response }) => {
      sendJson(response, 200, { workers: workersOf(instance) });
    }),
    operatorRoute(options, "/v1/explain", async ({ response, url }) => {
      const answer = await explain(instance, url.searchParams);
      const status = answer.type === "unknown" ? 404 : 200;
      sendJson(response, status, answer);
    }),
  ];
}

/** A GET route that requires the operators' key. */
function operatorRoute(
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

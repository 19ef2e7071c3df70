/** Renders the instructions that `cicadahitch dev` prints on start. */
import {
  SAMPLE_ADMIN_KEY,
  SAMPLE_CALLER_KEY,
  SAMPLE_MODEL,
  SAMPLE_POOLS,
  SAMPLE_TEAM,
} from "./sample_team.ts";

/**
 * @param listening Listener addresses by purpose.
 * @returns Text with commands that can be pasted into a terminal.
 */
export function renderGuide(listening: Record<string, string>): string {
  const { http, admin, peer, agents } = listening;
  const firstAgent = agents?.split(",")[0];
  return `
cicadahitch dev: an entry, three agents and stand-ins in one process.
Callers:        http://${http}  key ${SAMPLE_CALLER_KEY}
Administration: http://${admin}  key ${SAMPLE_ADMIN_KEY}
Team:           ${SAMPLE_TEAM}, model ${SAMPLE_MODEL}, service ${SAMPLE_POOLS.bookings}

Try in another terminal:

${curlChat(http, false)}

${curlChat(http, true)}

curl -s http://${http}/services/${SAMPLE_POOLS.bookings}/bookings \\
  -H 'Authorization: Bearer ${SAMPLE_CALLER_KEY}' \\
  -H 'Idempotency-Key: first' -d '{"dog":"Rex"}'

curl -s http://${http}/metrics
export CICADAHITCH_ADMIN_URL=http://${admin} CICADAHITCH_ADMIN_KEY=${SAMPLE_ADMIN_KEY}
node dist/cli/main.js admin show ${SAMPLE_TEAM}
node dist/cli/main.js state ${peer} --pretty
node dist/cli/main.js state ${firstAgent} --pretty

Stop with Ctrl-C.
`;
}

function curlChat(http: string | undefined, isStreamed: boolean): string {
  const body = JSON.stringify({
    model: SAMPLE_MODEL,
    ...(isStreamed ? { stream: true } : {}),
    messages: [{ role: "user", content: "Hello" }],
  });
  return `curl ${
    isStreamed ? "-sN" : "-s"
  } http://${http}/v1/chat/completions \\
  -H 'Authorization: Bearer ${SAMPLE_CALLER_KEY}' \\
  -H 'Content-Type: application/json' \\
  -d '${body}'`;
}

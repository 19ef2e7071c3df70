import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { after, before, test } from "node:test";
import OpenAI from "openai";
import { SAMPLE_CALLER_KEY, SAMPLE_MODEL } from "../cli/sample_team.ts";
import { readState } from "../cli/state_command.ts";
import { answerTo, chatBody, Client } from "./_client.ts";
import { Fleet, type RunningEntry } from "./_fleet.ts";

let fleet: Fleet;
let entry: RunningEntry;
let client: Client;

before(async () => {
  fleet = await Fleet.create();
  entry = await fleet.startEntry();
  client = Client.create(fleet);
});
after(() => fleet?.close());

function openai(): OpenAI {
  const baseURL = `${entry.url}/v1`;
  return new OpenAI({ baseURL, apiKey: SAMPLE_CALLER_KEY, maxRetries: 0 });
}

test("non-streaming answers across processes are exact", async () => {
  for (let index = 0; index < 10; index++) {
    const body = chatBody(`Whole ${index}`, 8 + index);
    const answer = await client.whole(entry, body);
    assert.deepEqual(answer, {
      text: answerTo(body),
      completionTokens: 8 + index,
    });
  }
});

test("concurrent streams are exact and not mixed up", async () => {
  const bodies = Array.from(
    { length: 40 },
    (_, index) => chatBody(`Stream ${index} ${"coat ".repeat(300)}`, 32),
  );
  const results = await Promise.all(
    bodies.map((body) => client.stream(entry, body)),
  );
  results.forEach((result, index) => {
    assert.equal(result.error, undefined);
    assert.equal(result.text, answerTo(bodies[index]!));
    assert.ok(result.isDone);
  });
});

test("a plain call passes body and status through", async () => {
  const response = await fetch(`${entry.url}/services/bookings/bookings`, {
    method: "POST",
    headers: { ...fleet.headers, "idempotency-key": "path-1" },
    body: '{"dog":"Rex"}',
  });
  const answer = await response.json();
  assert.equal(response.status, 201, JSON.stringify(answer));
  assert.deepEqual(answer, { execution: 1, body: '{"dog":"Rex"}' });
});

test("a repeated plain call gets the first answer", async () => {
  const headers = { ...fleet.headers, "idempotency-key": "path-2" };
  const url = `${entry.url}/services/bookings/bookings`;
  const book = () => fetch(url, { method: "POST", headers, body: "{}" });
  const first = await book();
  const second = await book();
  assert.equal(first.status, 201);
  assert.equal(await second.text(), await first.text());
});

test("openai client reads a non-streaming answer", async () => {
  const body = chatBody("Official client", 20);
  const answer = await openai().chat.completions.create(body);
  assert.equal(answer.choices[0]?.message.content, answerTo(body));
  assert.equal(answer.usage?.completion_tokens, 20);
});

test("openai client reads a stream with usage", async () => {
  const body = chatBody("Official client, streamed", 24);
  const stream = await openai().chat.completions.create({
    ...body,
    stream: true,
    stream_options: { include_usage: true },
  });
  let text = "";
  let completionTokens: number | undefined;
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? "";
    completionTokens = chunk.usage?.completion_tokens ?? completionTokens;
  }
  assert.equal(text, answerTo(body));
  assert.equal(completionTokens, 24);
});

test("a stream has a usage event only when requested", async () => {
  const body = { ...chatBody("No usage wanted"), stream: true as const };
  const stream = await openai().chat.completions.create(body);
  for await (const chunk of stream) assert.equal(chunk.choices.length, 1);
});

test("openai client lists models and gets typed errors", async () => {
  const models = await openai().models.list();
  assert.deepEqual(models.data.map(({ id }) => id), [SAMPLE_MODEL]);
  const body = { ...chatBody("x"), model: "nothing" };
  await assert.rejects(
    openai().chat.completions.create(body),
    (error) =>
      error instanceof OpenAI.NotFoundError && error.code === "model_not_found",
  );
});

test("state dumps of entry and agents contain no prompt and no key", async () => {
  await client.whole(entry, chatBody("Secret prompt"));
  const addresses = [
    entry.peerAddress,
    ...fleet.slots.map(({ agentAddress }) => agentAddress),
  ];
  for (const address of addresses) {
    const state = await readState({ flags: { address }, variables: {} });
    const json = state.unwrapOr("");
    assert.ok(JSON.parse(json));
    assert.doesNotMatch(json, /Secret prompt|only-for-development/);
  }
});

test("metrics are documented and include quantiles of the time to first token", async () => {
  await client.stream(entry, chatBody("Measured"));
  const text = await (await fetch(`${entry.url}/metrics`)).text();
  const docsUrl = new URL("../../docs/OPERATING.md", import.meta.url);
  const documentation = readFileSync(docsUrl, "utf8");
  for (const [, name] of text.matchAll(/^# TYPE (\S+)/gm)) {
    assert.ok(
      documentation.includes(`\`${name}\``),
      `${name} is not described`,
    );
  }
  assert.match(text, /cicadahitch_entry_ttft_ms\{.*quantile="0.95"\} [\d.]+/);
});

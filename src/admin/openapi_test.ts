import assert from "node:assert/strict";
import { test } from "node:test";
import { OPENAPI_DOCUMENT } from "./openapi.ts";
import { ADMIN_ROUTES } from "./routes.ts";

test("the document describes exactly the served routes", () => {
  const documented = Object.entries(OPENAPI_DOCUMENT.paths).flatMap(
    ([path, item]) =>
      Object.keys(item).map((method) => `${method.toUpperCase()} ${path}`),
  );
  const served = ADMIN_ROUTES.map(({ method, path }) =>
    `${method} ${path.replaceAll(/:(\w+)/g, "{$1}")}`
  );
  assert.deepEqual(documented.toSorted(), served.toSorted());
});

test("path parameters and bodies are documented", () => {
  for (const { method, path, takesBody = false } of ADMIN_ROUTES) {
    const item: Record<string, { parameters: { name: string }[] }> = {
      ...OPENAPI_DOCUMENT.paths[
        path.replaceAll(
          /:(\w+)/g,
          "{$1}",
        ) as keyof typeof OPENAPI_DOCUMENT.paths
      ],
    };
    const operation = item[method.toLowerCase()];
    assert(operation);
    const names = operation.parameters.map(({ name }) => name);
    for (const [, name] of path.matchAll(/:(\w+)/g)) {
      assert(names.includes(name ?? ""), `${method} ${path}: ${name}`);
    }
    assert.equal("requestBody" in operation, takesBody, `${method} ${path}`);
  }
});

test("every schema reference resolves", () => {
  const text = JSON.stringify(OPENAPI_DOCUMENT);
  for (const [, name] of text.matchAll(/#\/components\/schemas\/(\w+)/g)) {
    assert(name && name in OPENAPI_DOCUMENT.components.schemas, name);
  }
});

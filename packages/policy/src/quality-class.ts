import {type WorkspaceId} from '@valehitch/core';

/**
Returns the name of the request class that shares quality estimates. A class covers the requests of one rule of one workspace, so the configuration, not the callers, bounds the number of classes.

@param workspace The workspace.
@param rule The name of the rule.
@returns The class name, such as `yard/lookup`.
@example
```ts
qualityClass(workspace, rule.name);
```
*/
export function qualityClass(workspace: WorkspaceId, rule: string): string {
	return `${workspace}/${rule}`;
}

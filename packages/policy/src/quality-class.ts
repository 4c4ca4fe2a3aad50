import {type WorkspaceId} from '@valehitch/core';

/**
Names the class of requests that share quality estimates: those that one rule of one workspace covers, so that the number of classes is bounded by the configuration and not by callers.

@param workspace The workspace.
@param rule The name of the rule.
@returns The class, such as `yard/lookup`.
@example
```ts
qualityClass(workspace, rule.name);
```
*/
export function qualityClass(workspace: WorkspaceId, rule: string): string {
	return `${workspace}/${rule}`;
}

/** Members of the chat completions API whose names are not in camel case. */
export const wireNames = {
	maxTokens: 'max_tokens',
	promptTokens: 'prompt_tokens',
	completionTokens: 'completion_tokens',
	totalTokens: 'total_tokens',
	finishReason: 'finish_reason',
} as const;

/** The chat-completions members whose names are not in this code's case. */
export const wireNames = {
	maxTokens: 'max_tokens',
	promptTokens: 'prompt_tokens',
	completionTokens: 'completion_tokens',
	totalTokens: 'total_tokens',
	finishReason: 'finish_reason',
} as const;

import {type AnswerHead} from './gateway-request.js';

/** Creates the head of a signed success for tests. */
export function testAnswerHead(changes: Partial<AnswerHead> = {}): AnswerHead {
	return {
		status: 200,
		requestId: 'a1',
		isNotRun: false,
		isFromOtherServer: false,
		isSigned: true,
		isEncoded: false,
		confidence: undefined,
		isDraining: false,
		brittleness: {type: 'none'},
		rateLimit: {type: 'unlimited'},
		pause: {type: 'none'},
		...changes,
	};
}

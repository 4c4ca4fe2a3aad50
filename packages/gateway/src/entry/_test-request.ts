import {type GatewayRequest} from './gateway-request.js';

/** Creates a minimal request for tests. */
export function testRequest(changes: Partial<GatewayRequest> = {}): GatewayRequest {
	return {
		id: 'a1',
		method: 'GET',
		target: '/labels/7',
		path: '/labels/7',
		host: 'desk.example',
		headers: [],
		key: 'k1',
		timeout: 1500,
		choosesModel: false,
		promptParts: [],
		inputTokens: 0,
		outputTokens: 0,
		session: undefined,
		lastEventId: undefined,
		...changes,
	};
}

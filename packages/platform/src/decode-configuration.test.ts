import test from 'ava';
import {decodeConfiguration} from './decode-configuration.js';

const valid = {
	version: 7,
	routes: [
		{
			name: 'drafts', host: 'desk.example', pathPrefix: '/drafts/', kind: 'streaming', timeoutMs: 8000, targetLatencyMs: 2000, priority: 0, sizes: ['small', 'large'], trafficSplit: [
				{service: 'models', weight: 90},
				{service: 'labels', weight: 10},
			], maxAttempts: 3, public: false, sticky: true, resumable: true, targetGapMs: 1200,
		},
		{
			name: 'labels', host: 'desk.example', pathPrefix: '/labels/', kind: 'unsafe', timeoutMs: 800, service: 'labels', maxAttempts: 1,
		},
	],
	services: [{name: 'models', maxConns: 360, engine: {slots: 64, models: [{name: 'small', cost: 0.018}]}}, {name: 'labels'}],
	tenants: [{name: 'mills', apiKeys: ['k1'], priority: 1}],
};

test('a configuration of the platform is decoded into a routing configuration', t => {
	const configuration = decodeConfiguration(JSON.stringify(valid)).unsafeCoerce();
	t.like(configuration, {version: 7, limits: {idleTimeout: 15_000}});
	t.like(configuration.routes[0], {
		id: 'drafts', kind: 'streaming', sizes: ['small', 'large'], services: [
			{service: 'models', weight: 90},
			{service: 'labels', weight: 10},
		], isResumable: true, usesPromptCache: true, targetGap: 1200,
	});
	t.like(configuration.routes[1], {services: [{service: 'labels', weight: 1}], maximumAttempts: 1, isPublic: false});
	t.like(configuration.workspaces?.[0], {id: 'mills', keys: ['k1']});
});

for (const [name, document, kind, wanted] of [
	['a truncated document', JSON.stringify(valid).slice(0, -40), 'malformed-request', /not JSON/v],
	['a timeout of 0', JSON.stringify({...valid, routes: [{...valid.routes[1], timeoutMs: 0}]}), 'invalid-configuration', /routes\.0\.timeoutMs/v],
	['a route without a service', JSON.stringify({...valid, routes: [{...valid.routes[1], service: undefined}]}), 'invalid-configuration', /Route labels/v],
	['an unknown service', JSON.stringify({...valid, services: []}), 'invalid-configuration', /Route drafts: got service models/v],
	['no version', JSON.stringify({...valid, version: undefined}), 'invalid-configuration', /version/v],
] as const) {
	test(`${name} is refused with its location`, t => {
		const failed = decodeConfiguration(document).swap().unsafeCoerce();
		t.is(failed.kind, kind);
		t.regex(failed.message, wanted);
	});
}

test('the path of a health check is taken if a request can have it, and no other value makes a configuration invalid', t => {
	const pathOf = (healthPath: unknown): string | undefined => decodeConfiguration(JSON.stringify({...valid, services: [{...valid.services[0], healthPath}, valid.services[1]]})).unsafeCoerce().services[0]?.healthPath;
	t.deepEqual(['/healthz', '/a?b=1', 'healthz', '/a b', '/a\r\nHost: b', 7, null, undefined].map(path => pathOf(path)), ['/healthz', '/a?b=1', undefined, undefined, undefined, undefined, undefined, undefined]);
});

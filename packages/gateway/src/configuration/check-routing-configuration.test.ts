import test from 'ava';
import {checkRoutingConfiguration} from './check-routing-configuration.js';
import {testConfiguration, testRoute} from './_test-configuration.js';

test('a valid configuration is returned unchanged', t => {
	const configuration = testConfiguration();
	t.is(checkRoutingConfiguration(configuration).extract(), configuration);
});

for (const [name, configuration, expected] of [
	['an unknown service', testConfiguration({routes: [testRoute({services: [{service: 'none' as never, weight: 1}]})]}), /got service none, which is not defined/v],
	['weights of 0', testConfiguration({routes: [testRoute({services: [{service: 'labels' as never, weight: 0}]})]}), /weights of its services add up to 0/v],
	['a timeout of 0', testConfiguration({routes: [testRoute({timeout: 0})]}), /timeout must be greater than 0 ms, but is 0 ms/v],
	['two routes with the same host and prefix', testConfiguration({routes: [testRoute(), testRoute({id: 'other' as never})]}), /already used by route labels/v],
	['a key of two workspaces', testConfiguration({
		workspaces: [{id: 'mills' as never, keys: ['k1'], priority: undefined}, {id: 'yards' as never, keys: ['k1'], priority: undefined}],
	}), /keys is already used by workspace mills/v],
] as const) {
	test(`${name} is rejected, and the message says where it occurs`, t => {
		const failed = checkRoutingConfiguration(configuration).swap().unsafeCoerce();
		t.is(failed.kind, 'invalid-configuration');
		t.regex(failed.message, expected);
	});
}

import test from 'ava';
import {checkRoutingConfiguration} from './check-routing-configuration.js';
import {testConfiguration, testRoute} from './_test-configuration.js';

test('a sound configuration passes unchanged', t => {
	const configuration = testConfiguration();
	t.is(checkRoutingConfiguration(configuration).extract(), configuration);
});

for (const [name, configuration, wanted] of [
	['an unknown service', testConfiguration({routes: [testRoute({services: [{service: 'none' as never, weight: 1}]})]}), /got service none/v],
	['weights of 0', testConfiguration({routes: [testRoute({services: [{service: 'labels' as never, weight: 0}]})]}), /weights that add up to 0/v],
	['a timeout of 0', testConfiguration({routes: [testRoute({timeout: 0})]}), /timeout of 0 ms/v],
	['two routes at one place', testConfiguration({routes: [testRoute(), testRoute({id: 'other' as never})]}), /which route labels has already/v],
	['a key that two workspaces hold', testConfiguration({
		workspaces: [{id: 'mills' as never, keys: ['k1'], priority: undefined}, {id: 'yards' as never, keys: ['k1'], priority: undefined}],
	}), /a key that workspace mills has/v],
] as const) {
	test(`${name} is refused with its place`, t => {
		const failed = checkRoutingConfiguration(configuration).swap().unsafeCoerce();
		t.is(failed.kind, 'invalid-configuration');
		t.regex(failed.message, wanted);
	});
}

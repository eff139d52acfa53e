"""Steps for the endpoints that a router uses, by service."""

import attrs
from behave import given, then, when

from knapweedarch.deployments import Deployment, Engine, Service
from knapweedarch.models import Endpoint, EndpointKind, EndpointStatus
from knapweedarch.service_endpoints import ServiceEndpoints

URL = "http://10.0.0.1:80"
OTHER_URL = "http://10.0.0.2:80"
MODEL = "m"


def endpoint(name: str, born: str, *serves: str, status="active") -> Endpoint:
    kind = EndpointKind.RUNNER if len(serves) > 1 else EndpointKind.SERVICE
    return Endpoint(
        *(name, born, URL, kind, serves), status=EndpointStatus(status)
    )


def later_registration(text: str) -> Endpoint:
    """Returns the endpoint that a step describes."""
    match text.replace('"', "").split():
        case ["of", "a", "service", "that", "is", "not", "named"]:
            return endpoint("other", "200", "later")
        case ["of", service, "without", "models"]:
            return endpoint("other", "200", service)
        case ["of", service, "with", "models"]:
            return endpoint("other", "200", service, MODEL)
        case ["of", "chat", "and", status]:
            return endpoint("other", "200", "chat", MODEL, status=status)
        case ["of", service, "and", status]:
            return endpoint("other", "200", service, status=status)
    raise AssertionError(text)


@given('a deployment with the model service "{model}" and the service "{desk}"')
def given_deployment(context, model, desk):
    engine = Engine(8, 1000, 1, 1.0, 1, (MODEL,))
    context.deployment = Deployment(
        1, services=(Service(model, engine=engine), Service(desk))
    )
    context.used = ServiceEndpoints()
    context.used.set_deployment(context.deployment)


@given('the endpoint "{name}" of "{service}" with the model "{model}"')
def given_endpoint(context, name, service, model):
    context.own = endpoint(name, "100", service, model)
    context.used.set_listed([context.own])


@when("a later registration at its address is {text}")
def register_later(context, text):
    context.other = later_registration(text)
    context.used.set_listed([context.own, context.other])


@when("a later registration at another address is {text}")
def register_elsewhere(context, text):
    context.other = attrs.evolve(later_registration(text), url=OTHER_URL)
    context.used.set_listed([context.own, context.other])


@when('the server at the address answers that it is not "{name}"')
def deny(context, name):
    assert context.other.id == name
    context.used.record_replaced(context.other)


@when("a deployment names that service as well")
def name_service(context):
    services = (*context.deployment.services, Service(context.other.serves[0]))
    context.used.set_deployment(
        attrs.evolve(context.deployment, services=services)
    )


@then('the requests for "{service}" may go to {found}')
def check_endpoints(context, service, found):
    names = [] if found == "nobody" else [found.strip('"')]
    assert [e.id for e in context.used.of(service)] == names


@then('the requests for "{service}" and model "{model}" go to {found}')
def check_endpoints_of_model(context, service, model, found):
    names = [] if found == "nobody" else [found.strip('"')]
    assert [e.id for e in context.used.of(service, model)] == names

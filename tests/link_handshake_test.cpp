#include "link/handshake.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace snipespar::link {

class handshake_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(handshake_test);
    CPPUNIT_TEST(both_sides_authenticate_the_other);
    CPPUNIT_TEST(wrong_secret_is_refused_by_the_listener);
    CPPUNIT_TEST(wrong_secret_is_refused_by_the_connector);
    CPPUNIT_TEST(claimed_identity_is_covered_by_the_proof);
    CPPUNIT_TEST(proof_of_another_connection_is_refused);
    CPPUNIT_TEST(reflected_proof_is_refused);
    CPPUNIT_TEST(other_protocol_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void both_sides_authenticate_the_other()
    {
        auto listener = make_listener("fleet");
        auto connector = make_connector("fleet", 'c');
        const auto response = connector.respond(listener.make_challenge());
        const auto reply = listener.accept(*response);
        CPPUNIT_ASSERT(reply.ok());
        CPPUNIT_ASSERT(connector.finish(*reply).ok());
        CPPUNIT_ASSERT(listener.remote() == entry_peer);
        CPPUNIT_ASSERT(connector.remote() == agent_peer);
    }

    void wrong_secret_is_refused_by_the_listener()
    {
        auto listener = make_listener("fleet");
        auto connector = make_connector("other", 'c');
        const auto response = connector.respond(listener.make_challenge());
        CPPUNIT_ASSERT(!listener.accept(*response).ok());
    }

    void wrong_secret_is_refused_by_the_connector()
    {
        auto listener = make_listener("other");
        auto connector = make_connector("fleet", 'c');
        auto connector_of_other_fleet = make_connector("other", 'c');
        const auto listener_challenge = listener.make_challenge();
        CPPUNIT_ASSERT(connector.respond(listener_challenge).ok());
        const auto reply = listener.accept(*connector_of_other_fleet.respond(listener_challenge));
        CPPUNIT_ASSERT(reply.ok());
        CPPUNIT_ASSERT(!connector.finish(*reply).ok());
    }

    void claimed_identity_is_covered_by_the_proof()
    {
        auto listener = make_listener("fleet");
        auto connector = make_connector("fleet", 'c');
        auto response = *connector.respond(listener.make_challenge());
        response.sender.host = host_id("another");
        CPPUNIT_ASSERT(!listener.accept(response).ok());
    }

    void proof_of_another_connection_is_refused()
    {
        auto first = make_listener("fleet");
        auto connector = make_connector("fleet", 'c');
        const auto recorded = *connector.respond(first.make_challenge());
        handshake second(secret("fleet"), agent_peer, std::string(32, 'x'));
        CPPUNIT_ASSERT(!second.accept(recorded).ok());
    }

    void reflected_proof_is_refused()
    {
        auto connector = make_connector("fleet", 'c');
        const auto response = *connector.respond(challenge{1, std::string(32, 'c')});
        const welcome reflected{response.sender_role, response.sender, response.proof};
        CPPUNIT_ASSERT(!connector.finish(reflected).ok());
    }

    void other_protocol_is_refused()
    {
        auto listener = make_listener("fleet");
        auto connector = make_connector("fleet", 'c');
        auto listener_challenge = listener.make_challenge();
        ++listener_challenge.protocol;
        CPPUNIT_ASSERT(!connector.respond(listener_challenge).ok());
    }

private:
    static handshake make_listener(const std::string& fleet_secret)
    {
        return {secret(fleet_secret), agent_peer, std::string(32, 'l')};
    }

    static handshake make_connector(const std::string& fleet_secret, char nonce)
    {
        return {secret(fleet_secret), entry_peer, std::string(32, nonce)};
    }

    inline static const peer entry_peer{role::entry, {host_id("e1"), 7}};
    inline static const peer agent_peer{role::agent, {host_id("w1"), 9}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(handshake_test);

} // namespace snipespar::link

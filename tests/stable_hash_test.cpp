#include "base/stable_hash.h"

#include <array>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace snipespar {

class stable_hash_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stable_hash_test);
    CPPUNIT_TEST(value_is_the_same_in_every_build);
    CPPUNIT_TEST(rendezvous_follows_the_weights);
    CPPUNIT_TEST_SUITE_END();

public:
    void value_is_the_same_in_every_build()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0xf52a15e9a9b5e89bULL}, stable_hash(""));
    }

    void rendezvous_follows_the_weights()
    {
        std::array<int, 2> wins{};
        for (int i = 0; i < 10000; ++i) {
            const auto key = stable_hash(std::to_string(i));
            const bool second = rendezvous_score(key, 1, 1.0) < rendezvous_score(key, 2, 3.0);
            ++wins.at(second ? 1 : 0);
        }
        CPPUNIT_ASSERT(wins[1] > 7300 && wins[1] < 7700);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stable_hash_test);

} // namespace snipespar
